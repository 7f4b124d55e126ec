import type { EndpointId } from '@vanillarelay/core';
import type { RouteCounts } from './route-counts.js';
import type { SideCounts } from './side-counts.js';

type Writable<T> = { -readonly [Key in keyof T]: T[Key] };

/** Sums counts of answers, of several routers or of several routes. */
export function mergeRouteCounts(parts: readonly RouteCounts[]): RouteCounts {
  const old = createSide();
  const fresh = createSide();
  const matched: Writable<RouteCounts['matched']> = [0, 0, 0];
  const endpoints: Record<EndpointId, Writable<SideCounts>> = {};
  // A hub sums the reports of all routers in each exchange, so nothing is allocated for each part.
  parts.forEach((part) => {
    addSide(old, part.old);
    addSide(fresh, part.new);
    matched[0] += part.matched[0];
    matched[1] += part.matched[1];
    matched[2] += part.matched[2];
    Object.entries(part.endpoints).forEach(([key, counts]) => {
      const id = key as EndpointId;
      const sum = endpoints[id] ?? createSide();
      endpoints[id] = sum;
      addSide(sum, counts);
    });
  });
  return { old, new: fresh, matched, endpoints };
}

function createSide(): Writable<SideCounts> {
  return [0, 0, 0, 0];
}

function addSide(sum: Writable<SideCounts>, counts: SideCounts): void {
  sum[0] += counts[0];
  sum[1] += counts[1];
  sum[2] += counts[2];
  sum[3] += counts[3];
}
