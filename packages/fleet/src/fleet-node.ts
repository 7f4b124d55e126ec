import type { createFleetNode } from './create-fleet-node.js';

/** A daemon's part in the fleet. */
export type FleetNode = ReturnType<typeof createFleetNode>;
