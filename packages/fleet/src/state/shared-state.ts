import type { DataCentreId, ServiceId } from '@vanillarelay/core';
import type { Rollout } from '@vanillarelay/routing';
import type { Content } from '../content/content.js';
import type { RolloutStart } from './rollout-start.js';

/** State that all routers share through the replicated log. */
export interface SharedState extends Content {
  /** Log index of the last command that changed the state. */
  index: number;
  /** Version of the configuration; 0 before the first one. */
  version: number;
  dataCentresOut: DataCentreId[];
  /** Log index of the last accepted order of each data centre, also of one that changed nothing. */
  orderIndexes: Partial<Record<DataCentreId, number>>;
  /** The last roll-out of each service that had one. */
  rollouts: Partial<Record<ServiceId, Rollout>>;
  /** The last starts of each service, newest first; repeated orders are recognised by them. */
  rolloutStarts: Partial<Record<ServiceId, RolloutStart[]>>;
}
