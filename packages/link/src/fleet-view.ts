import type { AccountId, DaemonState, EndpointId, Member, ServiceId } from '@vanillarelay/core';

/** A daemon's view of the fleet. */
export interface FleetView {
  state: DaemonState | undefined;
  members: ReadonlyMap<EndpointId, Member>;
  /** Number of running requests of each member, as of the last frame. */
  loads: ReadonlyMap<EndpointId, number>;
  means: Readonly<Record<ServiceId, number>>;
  shares: Readonly<Record<AccountId, number>>;
}
