import type { CacheTransfer } from '../messages/cache-transfer.js';
import type { AgentClient } from './agent-client.js';

/** One agent as other agents of its service see it. */
export interface AgentPeer extends AgentClient {
  /** Gives the receiver the cache of a chat that leaves its endpoint; rejects when it has no use for it. */
  importCache(transfer: CacheTransfer, cache: Uint8Array, signal: AbortSignal): Promise<void>;
}
