import type { RequestId } from '@vanillarelay/core';
import type { PromptPart } from './prompt-part.js';

/** Information from the head of a caller's request. */
export interface RequestFacts {
  id: RequestId;
  /** How long the caller waits, in milliseconds; undefined when it sets no limit. */
  deadlineMs?: number;
  /** The caller's API key, if it sent one. */
  key?: string;
  /** Id of the last event of the stream that the caller has received. */
  lastEventId?: string;
  model?: string;
  promptParts: PromptPart[];
  /** Number of tokens in the prompt; 0 when unknown. */
  promptTokens: number;
  /** Maximum number of output tokens; undefined when unknown. */
  maxOutputTokens?: number;
  /** Headers that are forwarded unchanged; names and values alternate. */
  forwardedHeaders: string[];
}
