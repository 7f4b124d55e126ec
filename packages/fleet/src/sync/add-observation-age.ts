import type { CrashId, EndpointId, SuspectId } from '@vanillarelay/core';
import type { Observations } from '../messages/observations.js';

/** Time in which the work that a report names counts half, because endpoints do it meanwhile. */
const workHalfLifeMs = 800;
/** Time after which the demand that a daemon reported is no longer used. */
const demandTtlMs = 1_000;

/**
 * Adds the time since observations were received to the ages in them, and takes it off the waits and
 * the work.
 */
export function addObservationAge(observations: Observations, addedMs: number): Observations {
  const crashes: Observations['crashes'] = {};
  Object.entries(observations.crashes).forEach(([suspect, reports]) => {
    const aged: Observations['crashes'][SuspectId] = {};
    Object.entries(reports).forEach(([crash, { ageMs, events, clearedAgeMs }]) => {
      aged[crash as CrashId] = {
        ageMs: ageMs + addedMs,
        ...(events === undefined ? {} : { events }),
        ...(clearedAgeMs === undefined ? {} : { clearedAgeMs: clearedAgeMs + addedMs }),
      };
    });
    crashes[suspect as SuspectId] = aged;
  });
  const rates: Observations['rates'] = {};
  Object.entries(observations.rates).forEach(([endpoint, report]) => {
    rates[endpoint as EndpointId] = { ...report, ageMs: report.ageMs + addedMs };
  });
  const notices: Observations['notices'] = {};
  Object.entries(observations.notices).forEach(([endpoint, notice]) => {
    const waitMs = Math.max(0, notice.waitMs - addedMs);
    notices[endpoint as EndpointId] = { ...notice, waitMs };
  });
  const work: Observations['work'] = {};
  Object.entries(observations.work).forEach(([endpoint, ms]) => {
    const leftMs = Math.round(ms * 0.5 ** (addedMs / workHalfLifeMs));
    if (leftMs > 0) work[endpoint as EndpointId] = leftMs;
  });
  const { demand, ...others } = observations;
  const isDemandFresh = demand !== undefined && addedMs <= demandTtlMs;
  return { ...others, crashes, rates, notices, work, ...(isDemandFresh ? { demand } : {}) };
}
