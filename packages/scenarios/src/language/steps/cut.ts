import { listOthers } from '../list-others.js';
import type { Step } from '../step.js';

/** `cut A B`, `cut A others`: messages between them are lost, both ways, silently. */
export const cut: Step = async (world, [a = '', b = '']) => {
  const others = b === 'others' ? listOthers(world, a) : [b];
  others.forEach((other) => world.context.network.cut(a, other));
};
