import type { DemandGroup } from './demand-group.js';

/** Accounts for which the group of the other accounts counts. */
const restWeight = 8;

/**
 * Splits places among groups: the more urgent ones are served first, and within an urgency each
 * account gets the same, or less if it needs less (max-min fairness).
 */
export function splitPlaces(
  places: number,
  demands: ReadonlyMap<DemandGroup, number>,
): Map<DemandGroup, number> {
  const byUrgency = new Map<number, DemandGroup[]>();
  demands.forEach((_, group) => {
    const urgency = parseInt(group, 10);
    byUrgency.set(urgency, [...(byUrgency.get(urgency) ?? []), group]);
  });
  const parts = new Map<DemandGroup, number>();
  let left = Math.max(0, places);
  [...byUrgency.keys()]
    .sort((a, b) => a - b)
    .forEach((urgency) => {
      const readLevel = (group: DemandGroup) => (demands.get(group) ?? 0) / findWeight(group);
      const groups = [...(byUrgency.get(urgency) ?? [])].sort(
        (a, b) => readLevel(a) - readLevel(b),
      );
      let weightLeft = groups.reduce((sum, group) => sum + findWeight(group), 0);
      groups.forEach((group) => {
        const weight = findWeight(group);
        const part = Math.min(demands.get(group) ?? 0, (left * weight) / weightLeft);
        parts.set(group, part);
        left -= part;
        weightLeft -= weight;
      });
    });
  return parts;
}

function findWeight(group: DemandGroup): number {
  return group.endsWith(' *') ? restWeight : 1;
}
