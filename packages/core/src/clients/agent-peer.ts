import type { CacheTransfer } from '../messages/cache-transfer.js';
import type { AgentClient } from './agent-client.js';

/** The calls that agents of the same service make to an agent. */
export interface AgentPeer extends AgentClient {
  /** Transfers the cache of a chat that leaves its endpoint; rejects if the agent can't use it. */
  importCache(transfer: CacheTransfer, cache: Uint8Array, signal: AbortSignal): Promise<void>;
}
