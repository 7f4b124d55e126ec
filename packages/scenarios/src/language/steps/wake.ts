import { findProcess } from '../find-process.js';
import type { Step } from '../step.js';

/** `wake ID`: resumes a frozen process. */
export const wake: Step = async (world, [id = '']) => findProcess(world, id).resume();
