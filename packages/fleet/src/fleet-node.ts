import type { createFleetNode } from './create-fleet-node.js';

/** A daemon's fleet node, as `createFleetNode` returns it. */
export type FleetNode = ReturnType<typeof createFleetNode>;
