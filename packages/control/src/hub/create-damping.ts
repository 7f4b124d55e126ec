import type { Damping } from './damping.js';

const flapPenalty = 1_000;
/** Exceeded by the third flap within a few seconds; a restart and one failure stay below. */
const dampAbove = 2_500;
const releaseBelow = 1_000;
const maxPenalty = 6_000;
const halfLifeMs = 20_000;

/** Creates the penalty of one endpoint, which grows with each flap and decays exponentially. */
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
