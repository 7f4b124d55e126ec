import type { DataCentreId } from '../ids/data-centre-id.js';
import type { EndpointId } from '../ids/endpoint-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { VmId } from '../ids/vm-id.js';

/** An endpoint in the membership that the hubs keep. */
export interface Member {
  id: EndpointId;
  service: ServiceId;
  /** IP and port of its agent. */
  address: string;
  vm: VmId;
  dataCentre: DataCentreId;
  /** Increases with each start of the agent. */
  incarnation: number;
  status: 'ready' | 'cold' | 'leaving';
  /** Number of requests that the endpoint can run at once when warm. */
  slots: number;
  /** Whether the endpoint gets no new requests because it joins and leaves too often. */
  damped: boolean;
}
