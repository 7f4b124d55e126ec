import type { EndpointId, Fingerprint } from '@vanillarelay/core';
import type { Observations } from '../messages/observations.js';

/** Sums the observations of several daemons. */
export function mergeObservations(parts: readonly Observations[]): Observations {
  const sum: Observations = { loads: {}, outcomes: {}, crashes: {} };
  parts.forEach(({ loads, outcomes, crashes }) => {
    Object.entries(loads).forEach(([key, count]) => {
      const id = key as EndpointId;
      sum.loads[id] = (sum.loads[id] ?? 0) + count;
    });
    Object.entries(outcomes).forEach(([key, [good, bad]]) => {
      const id = key as EndpointId;
      const [knownGood, knownBad] = sum.outcomes[id] ?? [0, 0];
      sum.outcomes[id] = [knownGood + good, knownBad + bad];
    });
    Object.entries(crashes).forEach(([key, count]) => {
      const fingerprint = key as Fingerprint;
      sum.crashes[fingerprint] = (sum.crashes[fingerprint] ?? 0) + count;
    });
  });
  return sum;
}
