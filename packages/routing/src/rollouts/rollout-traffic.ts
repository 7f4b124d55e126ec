import type { createRolloutTraffic } from './create-rollout-traffic.js';

/** A router's part in the roll-outs of all services. */
export type RolloutTraffic = ReturnType<typeof createRolloutTraffic>;
