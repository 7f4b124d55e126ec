import type { EndpointId } from '../ids/endpoint-id.js';

/** An order to an engine. */
export interface EngineOrder {
  endpoint: EndpointId;
  action: 'loadModel' | 'loadAdapter' | 'changeRole';
  /** Model, adapter or role, with its version. */
  target: string;
  /** Log index of the order; engines and agents refuse orders with a lower one. */
  fencingToken: number;
}
