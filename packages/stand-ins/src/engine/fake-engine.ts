import type { EndpointClient, EngineOrder } from '@vanillarelay/core';
import type { CacheEvent } from './cache-event.js';
import type { FakeEngineStats } from './fake-engine-stats.js';

/** A fake engine: an endpoint with controls for tests. */
export interface FakeEngine extends EndpointClient {
  /** Loses the cache and all requests in flight; the engine restarts after `restartMs`. */
  crash(): void;
  /** Stops all progress, health checks included, until `resume`. */
  freeze(): void;
  resume(): void;
  resetWarmUp(): void;
  /** Lists the published cache events after a sequence number. */
  listCacheEvents(after: number): CacheEvent[];
  listOrders(): readonly EngineOrder[];
  readStats(): FakeEngineStats;
  /** False from a crash until the restart. */
  isUp(): boolean;
  /** Counts the cached tokens of a chat now, without event delay; for the `omniscient` policy. */
  countCached(chat: string): number;
}
