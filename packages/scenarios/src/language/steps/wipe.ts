import type { Step } from '../step.js';

/** `wipe ID`: the disk of a killed control node is empty. */
export const wipe: Step = async (world, [id = '']) => world.disks.get(id)?.wipe();
