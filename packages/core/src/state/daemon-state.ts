import type { DataCentreId } from '../ids/data-centre-id.js';
import type { EndpointId } from '../ids/endpoint-id.js';
import type { CrashMark } from './crash-mark.js';
import type { EngineOrder } from './engine-order.js';
import type { FleetConfig } from './fleet-config.js';

/** The part of the replicated state that every daemon follows. */
export interface DaemonState {
  /** Grows with every change that daemons must know; a daemon never goes back. */
  version: number;
  /** Version of the configuration alone, the one that operators name. */
  configVersion: number;
  config: FleetConfig;
  dataCentresOut: DataCentreId[];
  draining: EndpointId[];
  marks: CrashMark[];
  /** The newest order of each endpoint. */
  orders: EngineOrder[];
}
