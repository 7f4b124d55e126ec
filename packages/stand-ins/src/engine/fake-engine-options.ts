import type { Clock, Random } from '@vanillarelay/core';

/** How a fake engine behaves. */
export interface FakeEngineOptions {
  clock: Clock;
  random: Random;
  /** Changes with each start. */
  instance: string;
  /** Milliseconds of prefill for each prompt token that is not in the cache. */
  prefillMsPerToken?: number;
  /** Milliseconds between tokens with one running request. */
  tokenMs?: number;
  /** Milliseconds added between tokens for each further running request. */
  batchSlowdownMs?: number;
  /** Prompt tokens that the prefix cache holds. */
  cacheTokens?: number;
  /** Tokens of each answer. */
  answerTokens?: number;
}
