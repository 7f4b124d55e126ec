import type { EngineOrder } from '../state/engine-order.js';
import type { EndpointAnswer } from './endpoint-answer.js';
import type { EndpointHealth } from './endpoint-health.js';
import type { EndpointRequest } from './endpoint-request.js';

/** The endpoint as its agent sees it. */
export interface EndpointClient {
  /**
   * Aborting the signal cancels the request. Rejects with `connectionFailed` and `notRun: true`
   * when the connection could not be opened.
   */
  run(request: EndpointRequest, signal: AbortSignal): Promise<EndpointAnswer>;
  readHealth(signal: AbortSignal): Promise<EndpointHealth>;
  sendOrder(order: EngineOrder): Promise<void>;
  /** The cache of one chat as opaque bytes; undefined when the engine no longer holds it. */
  exportCache(chat: string): Promise<Uint8Array | undefined>;
  importCache(chat: string, cache: Uint8Array): Promise<void>;
}
