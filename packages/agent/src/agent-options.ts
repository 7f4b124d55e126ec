import type {
  AgentPeer,
  Clock,
  ControlClient,
  DataCentreId,
  EndpointClient,
  EndpointId,
  Hash,
  Hlc,
  Id,
  Random,
  ServiceId,
  Timeline,
  VmId,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';

/** Identity and dependencies of an agent. */
export interface AgentOptions {
  id: EndpointId;
  vm: VmId;
  dataCentre: DataCentreId;
  service: ServiceId;
  address: string;
  /** Number of requests that the endpoint can run at once when warm. */
  slots: number;
  /** Increases with each start of the agent. */
  incarnation: number;
  clock: Clock;
  random: Random;
  hash: Hash;
  hlc: Hlc;
  timeline: Timeline;
  createId: <T extends Id<string>>() => T;
  endpoint: EndpointClient;
  /** Rejects with `notRun: true` only when the command cannot have been accepted. */
  control: Pick<ControlClient, 'propose'>;
  /** A function because the link is created after the agent, which builds the link's reports. */
  findLink: () => Pick<Link, 'readView' | 'readContact' | 'buildContactReport' | 'receiveVersion'>;
  openAgent: (address: string) => AgentPeer;
}
