import type { EndpointId } from '@vanillarelay/core';
import {
  mergeCrashReports,
  mergeEndpointNotices,
  mergeRateReports,
  mergeVersionReports,
} from '@vanillarelay/routing';
import { mergeDemandReports, mergeHeldTokens } from '@vanillarelay/scheduling';
import type { Observations } from '../messages/observations.js';

/** Merges the observations of several daemons. */
export function mergeObservations(parts: readonly Observations[]): Observations {
  const crashes = mergeCrashReports(parts.map((part) => part.crashes));
  const rates = mergeRateReports(parts.map((part) => part.rates));
  const notices = mergeEndpointNotices(parts.map((part) => part.notices));
  const demand = mergeDemandReports(parts.map((part) => part.demand ?? {}));
  const heldTokens = mergeHeldTokens(parts.map((part) => part.heldTokens ?? {}));
  const versions = parts.flatMap((part) => (part.versions ? [part.versions] : []));
  const sum: Observations = {
    ...{ loads: {}, outcomes: {}, crashes, rates, notices, work: {} },
    ...(versions.length === 0 ? {} : { versions: mergeVersionReports(versions) }),
    ...(Object.keys(demand).length === 0 ? {} : { demand }),
    ...(Object.keys(heldTokens).length === 0 ? {} : { heldTokens }),
  };
  parts.forEach(({ loads, outcomes, work }) => {
    Object.entries(loads).forEach(([key, count]) => {
      const id = key as EndpointId;
      sum.loads[id] = (sum.loads[id] ?? 0) + count;
    });
    Object.entries(outcomes).forEach(([key, [good, bad]]) => {
      const id = key as EndpointId;
      const [knownGood, knownBad] = sum.outcomes[id] ?? [0, 0];
      sum.outcomes[id] = [knownGood + good, knownBad + bad];
    });
    Object.entries(work).forEach(([key, ms]) => {
      const id = key as EndpointId;
      sum.work[id] = (sum.work[id] ?? 0) + ms;
    });
  });
  const lateRouters = parts.reduce((count, part) => count + (part.lateRouters ?? 0), 0);
  return lateRouters > 0 ? { ...sum, lateRouters } : sum;
}
