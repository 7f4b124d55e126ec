import type { RequestId } from '@vanillarelay/core';
import type { PromptPart } from './prompt-part.js';

/** What a caller's headers say of its request. */
export interface RequestFacts {
  id: RequestId;
  /** How long the caller waits, in milliseconds; undefined when it does not say. */
  deadlineMs?: number;
  /** The caller's key, if it presented one. */
  key?: string;
  /** Last event that the caller of a stream has. */
  lastEventId?: string;
  model?: string;
  promptParts: PromptPart[];
  /** Tokens of the prompt, 0 when unknown. */
  promptTokens: number;
  /** Headers that go on to the endpoint as they came, name and value by turns. */
  passedHeaders: string[];
}
