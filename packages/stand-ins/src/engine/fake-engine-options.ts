import type { Clock, Random } from '@vanillarelay/core';

/** How a fake engine behaves. */
export interface FakeEngineOptions {
  clock: Clock;
  random: Random;
  /** Changes with each start; a restart after a crash appends a number. */
  instance: string;
  /** Milliseconds of prefill for each prompt token that is not in the cache. */
  prefillMsPerToken?: number;
  /** Milliseconds between tokens with one running request. */
  tokenMs?: number;
  /** Milliseconds added between tokens for each further running request. */
  batchSlowdownMs?: number;
  /** Requests in the batch at once; others wait by priority. */
  batchSize?: number;
  /** Tokens that the prefix cache holds. */
  cacheTokens?: number;
  /** Tokens of an answer whose request has no `max_tokens`. */
  answerTokens?: number;
  /** Whether a start is cold; after a crash the engine is always cold. */
  startsCold?: boolean;
  /** A cold engine fails requests above this number at once. */
  coldLimit?: number;
  /** Factor on all times while cold. */
  coldSlowdown?: number;
  /** The engine is warm after this time and this many completed requests. */
  warmUpMs?: number;
  warmUpRequests?: number;
  /** Age of the load report, in milliseconds. */
  loadLagMs?: number;
  /** Delay and share of lost cache events. */
  cacheEventDelayMs?: number;
  cacheEventLoss?: number;
  /** Whether an order with an outdated fencing token is refused or carried out. */
  fencing?: 'checked' | 'ignored';
  /** Time to load a model or adapter without a weight store. */
  loadMs?: number;
  /** Reads the weights of a target from a store; rejects when the store refuses. */
  loadWeights?: (target: string) => Promise<void>;
  /** The engine crashes on a request whose content holds this text. */
  crashText?: string;
  /** Time from a crash to the next start. */
  restartMs?: number;
}
