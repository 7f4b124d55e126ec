import type { EndpointId } from '@vanillarelay/core';
import { addSideCounts } from './add-side-counts.js';
import type { RouteCounts } from './route-counts.js';

/** Sums counts of answers, of several routers or of several routes. */
export function mergeRouteCounts(parts: readonly RouteCounts[]): RouteCounts {
  const endpoints: RouteCounts['endpoints'] = {};
  parts.forEach((part) => {
    Object.entries(part.endpoints).forEach(([key, counts]) => {
      const id = key as EndpointId;
      endpoints[id] = addSideCounts(endpoints[id], counts);
    });
  });
  const [good, bad, squares] = [0, 1, 2].map((at) =>
    parts.reduce((sum, { matched }) => sum + (matched[at] ?? 0), 0),
  ) as [number, number, number];
  return {
    old: parts.map((part) => part.old).reduce(addSideCounts, addSideCounts()),
    new: parts.map((part) => part.new).reduce(addSideCounts, addSideCounts()),
    matched: [good, bad, squares],
    endpoints,
  };
}
