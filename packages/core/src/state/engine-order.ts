import type { EndpointId } from '../ids/endpoint-id.js';

/** An order to an engine to load weights or change its role. */
export interface EngineOrder {
  endpoint: EndpointId;
  action: 'loadModel' | 'loadAdapter' | 'changeRole';
  /** Model, adapter or role, with its version. */
  target: string;
  /** Log index of the order; engines and agents refuse orders with a lower index. */
  fencingToken: number;
}
