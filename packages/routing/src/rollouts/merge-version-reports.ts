import { mergeRouteCounts } from './merge-route-counts.js';
import type { VersionReports } from './version-reports.js';

/** Sums the counts of answers that several routers report. */
export function mergeVersionReports(parts: readonly VersionReports[]): VersionReports {
  const merged: VersionReports = {};
  parts.forEach((reports) => {
    Object.entries(reports).forEach(([index, routes]) => {
      const known = merged[index] ?? {};
      merged[index] = known;
      Object.entries(routes).forEach(([route, counts]) => {
        const sum = known[route];
        known[route] = sum ? mergeRouteCounts([sum, counts]) : counts;
      });
    });
  });
  return merged;
}
