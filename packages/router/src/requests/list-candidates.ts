import type { ServiceId } from '@vanillarelay/core';
import type { Candidate, RoutedService } from '@vanillarelay/routing';
import type { RouterParts } from './router-parts.js';

interface CandidateList {
  /** Endpoints that may take a request now. */
  open: Candidate[];
  /** Endpoints of the service that take work at all. */
  total: number;
}

/** Requests that an endpoint may hold for each of its slots; more would wait too long there. */
const requestsPerSlot = 3;

/** Lists the endpoints of a service that may take one more request. */
export function listCandidates(
  { clock, endpoints, health, loads, pacer, isDataCentreOut }: RouterParts,
  id: ServiceId,
  service: RoutedService | undefined,
): CandidateList {
  const now = clock.monotonic();
  const taking = endpoints
    .listService(id)
    .filter(({ record }) => record.state === 'ready' && !isDataCentreOut(record.dataCentre));
  const failing = health.listFailing(taking.map(({ record }) => record.id));
  const open = taking.flatMap(({ record, coldUntil }) => {
    const load = loads.estimate(record.id);
    const coldRate = service?.coldRatePerS ?? 0;
    if (coldUntil > now && coldRate > 0 && !pacer.hasRoom(record.id, coldRate)) return [];
    if (load >= record.slots * requestsPerSlot) return [];
    return {
      id: record.id,
      dataCentre: record.dataCentre,
      slots: record.slots,
      load,
      isAvoided: record.isSilent === true || health.isAvoided(record.id),
      isFailing: failing.has(record.id),
    };
  });
  return { open, total: taking.length };
}
