import type { DemandCounts } from './demand-counts.js';
import type { DemandGroup } from './demand-group.js';

/** Keeps the groups with the most requests, and adds up the others by urgency. */
export function boundDemand(counts: DemandCounts, maxGroups: number): DemandCounts {
  const entries = Object.entries(counts) as [DemandGroup, [number, number]][];
  const isRest = (group: string): boolean => group.endsWith(' *');
  const kept = entries
    .filter(([group]) => !isRest(group))
    .sort(([, a], [, b]) => b[0] + b[1] - a[0] - a[1])
    .slice(0, maxGroups);
  const bounded = Object.fromEntries<DemandCounts[DemandGroup]>(kept);
  entries.forEach(([group, [waiting, running]]) => {
    if (group in bounded) return;
    const rest: DemandGroup = `${parseInt(group, 10)} *`;
    const [knownWaiting, knownRunning] = bounded[rest] ?? [0, 0];
    bounded[rest] = [knownWaiting + waiting, knownRunning + running];
  });
  return bounded;
}
