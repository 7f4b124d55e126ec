import { findProcess } from '../find-process.js';
import { listOthers } from '../list-others.js';
import type { Step } from '../step.js';

/** `lose ID`: removes the VM of a process; connections to it hang instead of being refused. */
export const lose: Step = async (world, [id = '']) => {
  findProcess(world, id).kill();
  world.disks.get(id)?.crash();
  listOthers(world, id).forEach((other) => world.context.network.cut(id, other));
};
