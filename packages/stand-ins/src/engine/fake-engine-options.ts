import type { Clock, Random } from '@vanillarelay/core';

/** Settings of a fake engine. */
export interface FakeEngineOptions {
  clock: Clock;
  random: Random;
  /** Id of this start of the engine; a restart after a crash appends a number. */
  instance: string;
  /** Milliseconds of prefill for each prompt token that is not in the cache. */
  prefillMsPerToken?: number;
  /** Milliseconds between tokens with one running request. */
  tokenMs?: number;
  /** Milliseconds added between tokens for each further running request. */
  batchSlowdownMs?: number;
  /** Number of requests that run at once; others wait by priority. */
  batchSize?: number;
  /** Capacity of the prefix cache, in tokens. */
  cacheTokens?: number;
  /** Tokens of an answer whose request has no `max_tokens`. */
  answerTokens?: number;
  /** Whether the engine is cold at first; after a crash it is always cold. */
  startsCold?: boolean;
  /** Number of concurrent requests above which a cold engine answers with 503. */
  coldLimit?: number;
  /** Factor by which a cold engine is slower. */
  coldSlowdown?: number;
  /** The engine is warm after this time and this many completed requests. */
  warmUpMs?: number;
  warmUpRequests?: number;
  /** Age of the load report, in milliseconds. */
  loadLagMs?: number;
  /** Delay in milliseconds of cache events, and the fraction of them that is lost. */
  cacheEventDelayMs?: number;
  cacheEventLoss?: number;
  /** Whether an order with an outdated fencing token is refused or executed. */
  fencing?: 'checked' | 'ignored';
  /** Time in milliseconds to load a model or adapter when `loadWeights` is absent. */
  loadMs?: number;
  /** Reads the weights of a target from a store; rejects when the store refuses. */
  loadWeights?: (target: string) => Promise<void>;
  /** A request whose content contains this text crashes the engine. */
  crashText?: string;
  /** Time from a crash to the restart, in milliseconds. */
  restartMs?: number;
}
