import type { World } from '../language/world.js';

/** Counts the runs of each idempotency key over all endpoints. */
export function countRuns({ runs }: World): Map<string, number> {
  const counts = new Map<string, number>();
  runs.forEach(({ key }) => {
    if (key !== '') counts.set(key, (counts.get(key) ?? 0) + 1);
  });
  return counts;
}
