import type { Clock, SuspectId } from '@vanillarelay/core';

/** Number of entries that are kept; the oldest ones are removed first. */
const maxEntries = 10_000;

/** Creates the memory of when an answer to a prompt with a certain part last began. */
export function createStartMemory(clock: Pick<Clock, 'monotonic'>) {
  const startedAt = new Map<SuspectId, number>();
  return {
    record: (ids: readonly SuspectId[]): void => {
      ids.forEach((id) => {
        // Deleted first, so that the map is ordered by the time of the last start.
        startedAt.delete(id);
        startedAt.set(id, clock.monotonic());
      });
      for (const id of startedAt.keys()) {
        if (startedAt.size <= maxEntries) return;
        startedAt.delete(id);
      }
    },
    has: (id: SuspectId): boolean => startedAt.has(id),
    hasSince: (id: SuspectId, at: number): boolean => (startedAt.get(id) ?? -Infinity) > at,
  };
}
