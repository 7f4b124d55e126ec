import type { Clock, Random } from '@vanillarelay/core';

/** Settings of a fake engine. */
export interface FakeEngineOptions {
  clock: Clock;
  random: Random;
  /** Id of this start of the engine; a restart after a crash appends a number. */
  instance: string;
  /** Milliseconds of prefill for each prompt token that is not in the cache. Default: 0.2. */
  prefillMsPerToken?: number;
  /** Milliseconds between tokens with one running request. Default: 2. */
  tokenMs?: number;
  /** Milliseconds added between tokens for each further running request. Default: 0.1. */
  batchSlowdownMs?: number;
  /** Number of requests that run at once; others wait by priority. Default: 256. */
  batchSize?: number;
  /** Capacity of the prefix cache, in tokens. Default: 20,000. */
  cacheTokens?: number;
  /** Tokens of an answer whose request has no `max_tokens`. Default: 8. */
  answerTokens?: number;
  /** Whether the engine is cold at first; after a crash it is always cold. Default: `false`. */
  startsCold?: boolean;
  /** Number of concurrent requests above which a cold engine answers with 503. Default: 2. */
  coldLimit?: number;
  /** Factor by which a cold engine is slower. Default: 4. */
  coldSlowdown?: number;
  /** Minimum time until a cold engine is warm, in milliseconds. Default: 2,000. */
  warmUpMs?: number;
  /** Minimum number of completed requests until a cold engine is warm. Default: 4. */
  warmUpRequests?: number;
  /** Age of the load that health checks report, in milliseconds. Default: 0. */
  loadLagMs?: number;
  /** Time from a cache event to its publication, in milliseconds. Default: 500. */
  cacheEventDelayMs?: number;
  /** Fraction of cache events that are lost, from 0 to 1. Default: 0.05. */
  cacheEventLoss?: number;
  /**
   * Whether an order with an outdated fencing token is refused or executed.
   * Default: `'checked'`.
   */
  fencing?: 'checked' | 'ignored';
  /**
   * Time in milliseconds to load a model or adapter when `loadWeights` is absent.
   * Default: 1,000.
   */
  loadMs?: number;
  /** Reads the weights of a target from a store; rejects when the store refuses. */
  loadWeights?: (target: string) => Promise<void>;
  /** A request whose content contains this text crashes the engine. Default: `'[[crash]]'`. */
  crashText?: string;
  /** Time from a crash to the restart, in milliseconds. Default: 1,000. */
  restartMs?: number;
}
