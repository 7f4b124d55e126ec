import { findProcess } from '../find-process.js';
import type { Step } from '../step.js';

/** `kill ID`: kills a process at once; its VM stays up and refuses connections. */
export const kill: Step = async (world, [id = '']) => {
  findProcess(world, id).kill();
  world.disks.get(id)?.crash();
};
