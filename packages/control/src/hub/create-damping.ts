import type { Damping } from './damping.js';

/** Added by each flap. */
const flapPenalty = 1_000;
/**
 * An endpoint is damped above this penalty. The third flap within a few seconds exceeds it; a
 * restart and one failure do not.
 */
const dampAbove = 2_500;
/** A damped endpoint is released below this. */
const releaseBelow = 1_000;
const maxPenalty = 6_000;
const halfLifeMs = 20_000;

/** Creates an endpoint's flap penalty, which grows with each flap and decays exponentially. */
export function createDamping(): Damping {
  let penalty = 0;
  let updatedAt = 0;
  let damped = false;

  const update = (now: number): void => {
    penalty *= 2 ** (-(now - updatedAt) / halfLifeMs);
    updatedAt = now;
    if (penalty > dampAbove) damped = true;
    if (penalty < releaseBelow) damped = false;
  };

  return {
    add(now) {
      update(now);
      penalty = Math.min(maxPenalty, penalty + flapPenalty);
      update(now);
    },
    isDamped(now) {
      update(now);
      return damped;
    },
  };
}
