import type { Clock } from '@vanillarelay/core';
import type { RolloutAge } from '../messages/rollout-age.js';
import type { RolloutStart } from '../state/rollout-start.js';
import type { SharedState } from '../state/shared-state.js';

interface Row {
  /** Monotonic time of the start. */
  since: number;
  isEstimated: boolean;
}

type StartsState = Pick<SharedState, 'rollouts' | 'rolloutStarts'>;

/**
 * A start counts from when it was applied if the state was this recently known to hold everything
 * that was committed; otherwise it may have been committed long before.
 */
const maxApplyDelayMs = 1_000;
/** Ages of ended roll-outs are told for this long, so that repeated orders are recognised. */
const endedRetentionMs = 20_000;
/** How far the wall clocks of two VMs may differ, as both jump by seconds. */
const maxClockErrorMs = 10_000;
const maxRows = 1_024;

/**
 * Creates a daemon's record of how long ago roll-outs were started. An age that a daemon counted
 * with its monotonic clock since it learned of the start is never above the true one, so the highest
 * of them holds. Wall clocks jump, so an age from them holds only while no daemon has counted.
 */
export function createRolloutAges(clock: Pick<Clock, 'monotonic' | 'now'>) {
  const rows = new Map<number, Row>();

  const update = (startIndex: number, next: Row): void => {
    const known = rows.get(startIndex);
    if (!known || isBetter(next, known)) rows.set(startIndex, next);
    const [oldest = 0] = rows.keys();
    if (rows.size > maxRows) rows.delete(oldest);
  };

  const readAgeMs = (startIndex: number): number | undefined => {
    const row = rows.get(startIndex);
    return row && clock.monotonic() - row.since;
  };

  const estimateAgeMs = ({ startedAt }: RolloutStart, stateAgeMs: number): number =>
    Math.min(Math.max(0, clock.now() - startedAt), stateAgeMs);

  return {
    readAgeMs,
    /** Whether a roll-out may have been started within the last `ms` milliseconds. */
    isRecent: (startIndex: number, ms: number): boolean => {
      const ageMs = readAgeMs(startIndex) ?? Infinity;
      return ageMs <= ms + (rows.get(startIndex)?.isEstimated ? maxClockErrorMs : 0);
    },
    /**
     * Records the starts of a state that is now held here. `stateAgeMs` is the time since the state
     * before it was known to hold everything that was committed.
     */
    recordHeld: (state: StartsState, stateAgeMs: number): void => {
      listStarts(state)
        .filter(({ startIndex }) => !rows.has(startIndex))
        .forEach((start) => {
          const isEstimated = stateAgeMs > maxApplyDelayMs;
          const ageMs = isEstimated ? estimateAgeMs(start, stateAgeMs) : 0;
          update(start.startIndex, { since: clock.monotonic() - ageMs, isEstimated });
        });
    },
    /** Receives the ages that another daemon told. */
    receive: (ages: readonly RolloutAge[] = []): void => {
      ages.forEach(({ startIndex, ageMs, isEstimated = false }) =>
        update(startIndex, { since: clock.monotonic() - ageMs, isEstimated }),
      );
    },
    /** Lists the ages to tell other daemons: of what is in progress or was started recently. */
    listAges: (state: StartsState): RolloutAge[] => {
      const inProgress = Object.values(state.rollouts)
        .filter((rollout) => rollout?.state === 'inProgress')
        .map((rollout) => rollout?.startIndex);
      return listStarts(state).flatMap(({ startIndex }) => {
        const row = rows.get(startIndex);
        if (!row) return [];
        const ageMs = Math.round(clock.monotonic() - row.since);
        if (ageMs > endedRetentionMs && !inProgress.includes(startIndex)) return [];
        return [{ startIndex, ageMs, ...(row.isEstimated ? { isEstimated: true } : {}) }];
      });
    },
  };
}

function listStarts({ rolloutStarts }: StartsState): RolloutStart[] {
  return Object.values(rolloutStarts).flatMap((starts) => starts ?? []);
}

function isBetter(next: Row, known: Row): boolean {
  if (next.isEstimated !== known.isEstimated) return known.isEstimated;
  return next.since < known.since;
}
