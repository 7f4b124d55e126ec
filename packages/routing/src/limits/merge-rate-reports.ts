import type { EndpointId } from '@vanillarelay/core';
import type { RateReports } from './rate-reports.js';

/** Merges the reports of several routers: the newest limit of each endpoint, and the sum of demand. */
export function mergeRateReports(parts: readonly RateReports[]): RateReports {
  const merged: RateReports = {};
  parts.forEach((reports) => {
    Object.entries(reports).forEach(([key, report]) => {
      const id = key as EndpointId;
      const known = merged[id];
      const newest = known && known.ageMs <= report.ageMs ? known : report;
      const demandPerS = (known?.demandPerS ?? 0) + report.demandPerS;
      merged[id] = { ...newest, demandPerS };
    });
  });
  return merged;
}
