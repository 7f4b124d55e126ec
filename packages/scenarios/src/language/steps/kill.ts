import { findProcess } from '../find-process.js';
import type { Step } from '../step.js';

/**
 * `kill ID`: kills a process without a graceful shutdown. Connections to it are refused, and a
 * control node also loses data that it has not synced. ID may be `endpoint-AGENT`.
 */
export const kill: Step = async (world, [id = '']) => {
  findProcess(world, id).kill();
  world.disks.get(id)?.crash();
};
