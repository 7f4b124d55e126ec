import type { ServiceId } from '@vanillarelay/core';
import type { Rollout } from '@vanillarelay/routing';
import type { SharedState } from './shared-state.js';

/** Finds the last roll-out of a service; a service may have the name of an inherited property. */
export function findRollout(
  { rollouts }: Pick<SharedState, 'rollouts'>,
  service: ServiceId,
): Rollout | undefined {
  return Object.hasOwn(rollouts, service) ? rollouts[service] : undefined;
}
