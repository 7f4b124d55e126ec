import { findProcess } from '../find-process.js';
import type { Step } from '../step.js';

/** `freeze ID`: the process stops making progress, without a sign to its peers. */
export const freeze: Step = async (world, [id = '']) => findProcess(world, id).freeze();
