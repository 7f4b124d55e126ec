import type { DemandGroup } from './demand-group.js';

/** Requests of a service by group: those that wait and those in flight. */
export type DemandCounts = Record<DemandGroup, [waiting: number, running: number]>;
