import type { Step } from '../step.js';

/** `wipe ID`: removes all data from the disk of a killed control node. */
export const wipe: Step = async (world, [id = '']) => world.disks.get(id)?.wipe();
