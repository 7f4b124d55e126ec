import type { DataCentreId } from '../ids/data-centre-id.js';
import type { EndpointId } from '../ids/endpoint-id.js';
import type { CrashMark } from './crash-mark.js';
import type { EngineOrder } from './engine-order.js';
import type { FleetConfig } from './fleet-config.js';

/** The part of the replicated state that every daemon receives. */
export interface DaemonState {
  /** Increases with every change that concerns daemons; a daemon ignores older versions. */
  version: number;
  /** Version of the configuration alone, which operators refer to. */
  configVersion: number;
  config: FleetConfig;
  dataCentresOut: DataCentreId[];
  draining: EndpointId[];
  marks: CrashMark[];
  /** The latest order for each endpoint. */
  orders: EngineOrder[];
}
