import type { EngineOrder } from '../state/engine-order.js';
import type { EndpointAnswer } from './endpoint-answer.js';
import type { EndpointHealth } from './endpoint-health.js';
import type { EndpointRequest } from './endpoint-request.js';

/** The calls that an agent makes to its endpoint. */
export interface EndpointClient {
  /**
   * Aborting the signal cancels the request. Rejects with `connectionFailed` and `notRun: true` if
   * the connection could not be opened.
   */
  run(request: EndpointRequest, signal: AbortSignal): Promise<EndpointAnswer>;
  readHealth(signal: AbortSignal): Promise<EndpointHealth>;
  sendOrder(order: EngineOrder): Promise<void>;
  /** Returns the cache of a chat as opaque bytes; undefined if the engine no longer holds it. */
  exportCache(chat: string): Promise<Uint8Array | undefined>;
  importCache(chat: string, cache: Uint8Array): Promise<void>;
}
