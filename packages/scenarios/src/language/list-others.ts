import type { World } from './world.js';

/** Lists the processes that may exchange messages with `id`, operator and caller included. */
export function listOthers({ processSpecs }: World, id: string): string[] {
  return [...processSpecs.keys(), 'caller', 'operator'].filter((other) => other !== id);
}
