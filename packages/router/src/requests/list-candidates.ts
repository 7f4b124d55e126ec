import type { ServiceId } from '@vanillarelay/core';
import type { Candidate, EndpointEntry, RoutedService } from '@vanillarelay/routing';
import type { RouterParts } from './router-parts.js';

/** Why endpoints of a service were left out, or doubted, with how many. */
type PassedOver = Partial<
  Record<'out' | 'leaving' | 'cold' | 'full' | NonNullable<Candidate['doubt']>, number>
>;

interface CandidateList {
  /** Endpoints that may take a request now. */
  open: Candidate[];
  /** Endpoints of the service that take work at all. */
  total: number;
  /** Mean load of all endpoints of the service, also of those that take no work now. */
  mean: number;
  passedOver: PassedOver;
}

/** Requests that an endpoint may hold for each of its slots; more would wait too long there. */
const requestsPerSlot = 3;

/** Lists the endpoints of a service that may take one more request. */
export function listCandidates(
  parts: RouterParts,
  id: ServiceId,
  service: RoutedService | undefined,
): CandidateList {
  const { endpoints, health, loads } = parts;
  const passedOver: PassedOver = {};
  const count = (reason: keyof PassedOver): void => {
    passedOver[reason] = (passedOver[reason] ?? 0) + 1;
  };
  const all = endpoints.listService(id);
  const taking = all.filter((entry) => {
    const reason = findRefusal(parts, entry);
    if (reason) count(reason);
    return !reason;
  });
  const failing = health.listFailing(taking.map(({ record }) => record.id));
  const open = taking.flatMap((entry): Candidate[] => {
    const { record } = entry;
    const load = loads.estimate(record.id);
    const reason = findLimit(parts, entry, service, load);
    if (reason) {
      count(reason);
      return [];
    }
    const doubt = findDoubt(parts, entry, failing);
    if (doubt) count(doubt);
    const { dataCentre, slots } = record;
    return [{ id: record.id, dataCentre, slots, load, ...(doubt ? { doubt } : {}) }];
  });
  const held = all.reduce((sum, { record }) => sum + loads.estimate(record.id), 0);
  const mean = held / Math.max(1, all.length);
  return { open, total: taking.length, mean, passedOver };
}

function findRefusal(
  { isDataCentreOut }: RouterParts,
  { record }: EndpointEntry,
): 'out' | 'leaving' | undefined {
  if (record.state !== 'ready') return 'leaving';
  return isDataCentreOut(record.dataCentre) ? 'out' : undefined;
}

function findLimit(
  { clock, pacer }: RouterParts,
  { record, coldUntil }: EndpointEntry,
  service: RoutedService | undefined,
  load: number,
): 'cold' | 'full' | undefined {
  const coldRate = service?.coldRatePerS ?? 0;
  const isCold = coldUntil > clock.monotonic() && coldRate > 0;
  if (isCold && !pacer.hasRoom(record.id, coldRate)) return 'cold';
  return load >= record.slots * requestsPerSlot ? 'full' : undefined;
}

function findDoubt(
  { health }: RouterParts,
  { record }: EndpointEntry,
  failing: ReadonlySet<string>,
): Candidate['doubt'] {
  if (record.isSilent) return 'silent';
  if (health.isAvoided(record.id)) return 'unreachable';
  return failing.has(record.id) ? 'failing' : undefined;
}
