import { findProcess } from '../find-process.js';
import type { Step } from '../step.js';

/** `freeze ID`: suspends the process; its peers get no error. */
export const freeze: Step = async (world, [id = '']) => findProcess(world, id).freeze();
