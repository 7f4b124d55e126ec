import type { CrashId, EndpointId, SuspectId } from '@vanillarelay/core';
import type { Observations } from '../messages/observations.js';

/** Adds the time since observations were received to the ages in them. */
export function addObservationAge(observations: Observations, addedMs: number): Observations {
  const crashes: Observations['crashes'] = {};
  Object.entries(observations.crashes).forEach(([suspect, reports]) => {
    const aged: Observations['crashes'][SuspectId] = {};
    Object.entries(reports).forEach(([crash, { ageMs, clearedAgeMs }]) => {
      aged[crash as CrashId] = {
        ageMs: ageMs + addedMs,
        ...(clearedAgeMs === undefined ? {} : { clearedAgeMs: clearedAgeMs + addedMs }),
      };
    });
    crashes[suspect as SuspectId] = aged;
  });
  const rates: Observations['rates'] = {};
  Object.entries(observations.rates).forEach(([endpoint, report]) => {
    rates[endpoint as EndpointId] = { ...report, ageMs: report.ageMs + addedMs };
  });
  return { ...observations, crashes, rates };
}
