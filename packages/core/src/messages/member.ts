import type { DataCentreId } from '../ids/data-centre-id.js';
import type { EndpointId } from '../ids/endpoint-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { VmId } from '../ids/vm-id.js';

/** An endpoint as the hubs know it. */
export interface Member {
  id: EndpointId;
  service: ServiceId;
  /** IP and port of its agent. */
  address: string;
  vm: VmId;
  dataCentre: DataCentreId;
  /** Grows with each start of the agent. */
  incarnation: number;
  status: 'ready' | 'cold' | 'leaving';
  /** Requests that the endpoint can run at once when warm. */
  slots: number;
  /** Set while the endpoint comes and goes too often. */
  damped: boolean;
}
