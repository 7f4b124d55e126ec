import { mergeRouteCounts } from './merge-route-counts.js';
import type { RouteCounts } from './route-counts.js';
import type { VersionReports } from './version-reports.js';

/** Sums the counts of answers that several routers report. */
export function mergeVersionReports(parts: readonly VersionReports[]): VersionReports {
  const grouped: Record<string, Record<string, RouteCounts[]>> = {};
  parts.forEach((reports) => {
    Object.entries(reports).forEach(([index, routes]) => {
      const known = grouped[index] ?? {};
      grouped[index] = known;
      Object.entries(routes).forEach(([route, counts]) => {
        if (known[route]) known[route].push(counts);
        else known[route] = [counts];
      });
    });
  });
  return Object.fromEntries(
    Object.entries(grouped).map(([index, routes]) => [
      index,
      Object.fromEntries(
        Object.entries(routes).map(([route, counts]) => [route, mergeRouteCounts(counts)]),
      ),
    ]),
  );
}
