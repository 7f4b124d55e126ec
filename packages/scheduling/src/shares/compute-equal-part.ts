import type { DaemonId, Hash } from '@vanillarelay/core';

interface EqualPartInput {
  hash: Hash;
  /** Decides which routers get one of the places that cannot be divided; the same at all of them. */
  key: string;
  places: number;
  self: DaemonId;
  /** Routers that may send, including this one, in the same order at all of them. */
  routers: readonly DaemonId[];
}

/**
 * Part of some places that a router may use without knowing of the others. The parts of all routers
 * add up to the places.
 */
export function computeEqualPart({ hash, key, places, self, routers }: EqualPartInput): number {
  const count = Math.max(1, routers.length);
  const whole = Math.floor(places / count);
  const remainder = Math.floor(places) - whole * count;
  const index = routers.indexOf(self);
  if (remainder === 0 || index < 0) return whole;
  return whole + ((index + hash(key)) % count < remainder ? 1 : 0);
}
