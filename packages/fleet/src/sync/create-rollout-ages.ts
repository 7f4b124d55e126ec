import type { Clock, ServiceId } from '@vanillarelay/core';
import type { Rollout } from '@vanillarelay/routing';
import type { RolloutAges } from '../messages/rollout-ages.js';
import type { SharedState } from '../state/shared-state.js';

interface Row {
  startIndex: number;
  /** Monotonic time of the start. */
  since: number;
  isEstimated: boolean;
}

/** Ages of ended roll-outs are told for this long, so that repeated orders are recognised. */
const endedRetentionMs = 10_000;

/**
 * Creates a daemon's record of how long ago roll-outs were started. An age that a daemon counted
 * with its monotonic clock since it learned of the start is never above the true one, so the highest
 * of them holds. Wall clocks jump, so an age from them holds only while no daemon has counted.
 */
export function createRolloutAges(clock: Pick<Clock, 'monotonic' | 'now'>) {
  const rows = new Map<ServiceId, Row>();

  const update = (service: ServiceId, next: Row): void => {
    const known = rows.get(service);
    if (!known || isBetter(next, known)) rows.set(service, next);
  };

  const estimateAgeMs = ({ startedAt }: Rollout): number => Math.max(0, clock.now() - startedAt);

  const readAgeMs = (service: ServiceId, startIndex: number): number | undefined => {
    const row = rows.get(service);
    return row?.startIndex === startIndex ? clock.monotonic() - row.since : undefined;
  };

  return {
    readAgeMs,
    /**
     * Records roll-outs of a state that is now held here. Starts up to `heldIndex` were read from a
     * disk or a snapshot instead of being applied when they were committed, so their age is
     * estimated.
     */
    recordHeld: (rollouts: SharedState['rollouts'], heldIndex: number): void => {
      Object.entries(rollouts).forEach(([key, rollout]) => {
        const service = key as ServiceId;
        if (!rollout || readAgeMs(service, rollout.startIndex) !== undefined) return;
        const { startIndex } = rollout;
        const isEstimated = startIndex <= heldIndex;
        const since = clock.monotonic() - (isEstimated ? estimateAgeMs(rollout) : 0);
        update(service, { startIndex, since, isEstimated });
      });
    },
    /** Receives the ages that another daemon told. */
    receive: (ages: RolloutAges = {}): void => {
      Object.entries(ages).forEach(([service, age]) => {
        if (!age) return;
        const { startIndex, ageMs, isEstimated = false } = age;
        update(service as ServiceId, {
          ...{ startIndex, isEstimated, since: clock.monotonic() - ageMs },
        });
      });
    },
    /** Lists the ages of the roll-outs of a state to tell other daemons. */
    listAges: (rollouts: SharedState['rollouts']): RolloutAges => {
      const ages: RolloutAges = {};
      Object.entries(rollouts).forEach(([key, rollout]) => {
        const service = key as ServiceId;
        const ageMs = rollout && readAgeMs(service, rollout.startIndex);
        if (!rollout || ageMs === undefined) return;
        if (rollout.state !== 'inProgress' && ageMs > endedRetentionMs) return;
        const { startIndex } = rollout;
        ages[service] = {
          ...{ startIndex, ageMs: Math.round(ageMs) },
          ...(rows.get(service)?.isEstimated ? { isEstimated: true } : {}),
        };
      });
      return ages;
    },
  };
}

function isBetter(next: Row, known: Row): boolean {
  if (next.startIndex !== known.startIndex) return next.startIndex > known.startIndex;
  if (next.isEstimated !== known.isEstimated) return known.isEstimated;
  return next.since < known.since;
}
