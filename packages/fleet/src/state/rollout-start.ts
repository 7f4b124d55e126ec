import type { Rollout } from '@vanillarelay/routing';

/** A start of a roll-out that may still be ordered again by an operator whose answer was lost. */
export type RolloutStart = Pick<Rollout, 'to' | 'startIndex' | 'startedAt'>;
