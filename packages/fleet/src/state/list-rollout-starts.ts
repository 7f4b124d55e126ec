import type { ServiceId } from '@vanillarelay/core';
import type { RolloutStart } from './rollout-start.js';
import type { SharedState } from './shared-state.js';

/** Lists the last starts of a service, newest first. */
export function listRolloutStarts(
  { rolloutStarts }: Pick<SharedState, 'rolloutStarts'>,
  service: ServiceId,
): readonly RolloutStart[] {
  return Object.hasOwn(rolloutStarts, service) ? (rolloutStarts[service] ?? []) : [];
}
