import { findProcess } from '../find-process.js';
import type { Step } from '../step.js';

/** `kill ID`: ends a process at once; its VM still refuses connections. */
export const kill: Step = async (world, [id = '']) => {
  findProcess(world, id).kill();
  world.disks.get(id)?.crash();
};
