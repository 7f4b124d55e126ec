import { findProcess } from '../find-process.js';
import type { Step } from '../step.js';

/** `wake ID`: a frozen process goes on. */
export const wake: Step = async (world, [id = '']) => findProcess(world, id).resume();
