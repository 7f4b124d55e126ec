import type { AccountId, DaemonState, EndpointId, Member, ServiceId } from '@vanillarelay/core';

/** A daemon's view of the fleet. */
export interface FleetView {
  state: DaemonState | undefined;
  members: ReadonlyMap<EndpointId, Member>;
  /** Number of running requests of each member, as of the last frame. */
  loads: ReadonlyMap<EndpointId, number>;
  /**
   * Mean number of running requests over a service's members, cold ones included. Members that are
   * leaving, draining or in a data centre that was taken out do not count.
   */
  means: Readonly<Record<ServiceId, number>>;
  /** This entry's share of the limit, for accounts near their limit. */
  shares: Readonly<Record<AccountId, number>>;
}
