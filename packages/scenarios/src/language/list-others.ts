import type { World } from './world.js';

/** Every process that may talk to `id`, operators and callers included. */
export function listOthers({ places }: World, id: string): string[] {
  return [...places.keys(), 'caller', 'operator'].filter((other) => other !== id);
}
