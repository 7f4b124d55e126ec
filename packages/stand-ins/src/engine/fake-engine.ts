import type { EndpointClient, EngineOrder } from '@vanillarelay/core';
import type { CacheEvent } from './cache-event.js';
import type { FakeEngineStats } from './fake-engine-stats.js';

/** A fake engine: an endpoint with switches for tests. */
export interface FakeEngine extends EndpointClient {
  /** Loses the cache and everything in flight; starts again after the restart time. */
  crash(): void;
  /** Stops all progress, health checks included, until `resume`. */
  freeze(): void;
  resume(): void;
  resetWarmUp(): void;
  /** Published cache events after a sequence number. */
  listCacheEvents(after: number): CacheEvent[];
  listOrders(): readonly EngineOrder[];
  readStats(): FakeEngineStats;
  /** False from a crash until the restart. */
  isUp(): boolean;
  /** Tokens of a chat in the cache, without lag; for an omniscient baseline. */
  countCached(chat: string): number;
}
