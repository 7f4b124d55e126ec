import type { ServiceId } from '@vanillarelay/core';
import { boundDemand } from './bound-demand.js';
import type { DemandCounts } from './demand-counts.js';
import type { DemandGroup } from './demand-group.js';
import type { DemandReports } from './demand-reports.js';

/** Groups of one service, and services, that a sum names at most; they bound the bytes. */
const maxGroups = 8;
const maxServices = 8;

/** Sums the demand at several routers. */
export function mergeDemandReports(parts: readonly DemandReports[]): DemandReports {
  const merged: DemandReports = {};
  parts.forEach((reports) => {
    Object.entries(reports).forEach(([key, counts]) => {
      const service = key as ServiceId;
      const sum = merged[service] ?? {};
      merged[service] = sum;
      Object.entries(counts).forEach(([name, [waiting, running]]) => {
        const group = name as DemandGroup;
        const [knownWaiting, knownRunning] = sum[group] ?? [0, 0];
        sum[group] = [knownWaiting + waiting, knownRunning + running];
      });
    });
  });
  const countWaiting = (counts: DemandCounts): number =>
    Object.values<[number, number]>(counts).reduce((total, [waiting]) => total + waiting, 0);
  return Object.fromEntries(
    Object.entries<DemandCounts>(merged)
      .sort(([, a], [, b]) => countWaiting(b) - countWaiting(a))
      .slice(0, maxServices)
      .map(([service, counts]) => [service, boundDemand(counts, maxGroups)]),
  );
}
