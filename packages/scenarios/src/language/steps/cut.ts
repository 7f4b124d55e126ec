import { listOthers } from '../list-others.js';
import type { Step } from '../step.js';

/** `cut A B`, `cut A others`: loses messages between them in both directions, without an error. */
export const cut: Step = async (world, [a = '', b = '']) => {
  const others = b === 'others' ? listOthers(world, a) : [b];
  others.forEach((other) => world.context.network.cut(a, other));
};
