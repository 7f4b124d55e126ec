import type { ServiceId } from '@vanillarelay/core';
import { boundDemand } from './bound-demand.js';
import type { DemandGroup } from './demand-group.js';
import type { DemandReports } from './demand-reports.js';

/** Groups of one service that a sum names at most; it bounds the bytes of an exchange. */
const maxGroups = 8;

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
  Object.entries(merged).forEach(([service, counts]) => {
    merged[service as ServiceId] = boundDemand(counts, maxGroups);
  });
  return merged;
}
