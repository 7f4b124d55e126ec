import { listOthers } from '../list-others.js';
import type { Step } from '../step.js';

/** `heal A B`, `heal A others`: restores the connection between them. */
export const heal: Step = async (world, [a = '', b = '']) => {
  const others = b === 'others' ? listOthers(world, a) : [b];
  others.forEach((other) => world.context.network.clearCut(a, other));
};
