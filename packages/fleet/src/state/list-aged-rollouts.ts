import type { ServiceId } from '@vanillarelay/core';
import type { AgedRollout } from './aged-rollout.js';
import type { SharedState } from './shared-state.js';

/** Lists the last roll-out of each service with its age in milliseconds; 0 when no age is known. */
export function listAgedRollouts(
  { rollouts }: Pick<SharedState, 'rollouts'>,
  readAgeMs: (startIndex: number) => number | undefined,
): AgedRollout[] {
  return Object.entries(rollouts).flatMap(([key, rollout]) => {
    if (!rollout) return [];
    const ageMs = readAgeMs(rollout.startIndex) ?? 0;
    return [{ service: key as ServiceId, rollout, ageMs }];
  });
}
