import type { EndpointId, ServiceId } from '@vanillarelay/core';
import type { Candidate, EndpointTableRow, RoutedService } from '@vanillarelay/routing';
import type { RouterContext } from '../router-context.js';
import { selectVersions } from './select-versions.js';

/** Number of endpoints of a service that were excluded or have a health issue, by reason. */
type PassedOver = Partial<
  Record<
    | 'out'
    | 'version'
    | 'leaving'
    | 'cold'
    | 'limited'
    | 'waiting'
    | 'full'
    | NonNullable<Candidate['healthIssue']>,
    number
  >
>;

/** An endpoint with what is decided by more than once. */
interface LoadedRow extends EndpointTableRow {
  load: number;
  /** Whether it refuses connections. */
  isRefusing: boolean;
}

interface CandidateList {
  /** Endpoints that may receive a request now. */
  open: Candidate[];
  /**
   * Number of endpoints of the service that accept the request, even if they have no capacity now, and
   * of those that were tried although a retry may not use their version.
   */
  total: number;
  /**
   * Mean load of the endpoints of the service, including those that accept no requests now, but not
   * those that refuse connections.
   */
  meanLoad: number;
  /**
   * Time until one of the endpoints has capacity, in milliseconds; 0 when that is unknown, as a
   * request may end at any time.
   */
  waitMs: number;
  passedOver: PassedOver;
}

/**
 * Maximum number of requests in flight per slot of an endpoint; with more, a request would wait too
 * long there.
 */
const maxRequestsPerSlot = 3;

/**
 * Lists the endpoints of a service that may receive one more request. While a version is rolled out,
 * `key` and `tried` of the request decide which version it uses.
 */
export function listCandidates(
  context: RouterContext,
  id: ServiceId,
  service: RoutedService | undefined,
  key = '',
  tried: ReadonlySet<EndpointId> = noEndpoints,
): CandidateList {
  const { endpoints, health, loads } = context;
  const passedOver: PassedOver = {};
  const countReason = (reason: keyof PassedOver): void => {
    passedOver[reason] = (passedOver[reason] ?? 0) + 1;
  };
  const all = endpoints.listService(id).map((row): LoadedRow => ({
    ...row,
    load: loads.estimate(row.record.id),
    isRefusing: health.isRefusing(row.record.id, row.firstSeenAt),
  }));
  const inService = all.filter((row) => {
    const reason = findExclusion(context, row);
    if (reason) countReason(reason);
    return !reason;
  });
  const { rows: accepting, preferred } = selectVersions(context, id, inService, { key, tried });
  const otherVersions = inService.length - accepting.length;
  if (otherVersions > 0) passedOver.version = otherVersions;
  const failing = health.listFailing(accepting.map(({ record }) => record.id));
  const withCapacity = accepting.flatMap((row): Candidate[] => {
    const { record, load } = row;
    const reason = findLimit(context, row, service);
    if (reason) {
      countReason(reason);
      return [];
    }
    const healthIssue = findHealthIssue(context, row, failing);
    if (healthIssue) countReason(healthIssue);
    const { dataCentre, slots } = record;
    const promptShare = context.rateLimiter.computePromptShare(record.id, accepting.length);
    return [
      {
        ...{ id: record.id, dataCentre, slots, load },
        ...(promptShare < 1 ? { promptShare } : {}),
        ...(healthIssue ? { healthIssue } : {}),
      },
    ];
  });
  const first = preferred ? withCapacity.filter((one) => preferred.has(one.id)) : withCapacity;
  const open = first.length > 0 ? first : withCapacity;
  const listening = all.filter((row) => !row.isRefusing);
  const totalLoad = listening.reduce((sum, { load }) => sum + load, 0);
  const meanLoad = totalLoad / Math.max(1, listening.length);
  const { limited = 0, waiting = 0 } = passedOver;
  const areTimesKnown =
    accepting.length > 0 && open.length === 0 && limited + waiting === accepting.length;
  const waitMs = areTimesKnown ? computeShortestWait(context, accepting) : 0;
  const total =
    accepting.length + (otherVersions > 0 ? countTried(inService, accepting, tried) : 0);
  return { open, total, meanLoad, waitMs, passedOver };
}

const noEndpoints: ReadonlySet<EndpointId> = new Set();

function countTried(
  rows: readonly EndpointTableRow[],
  accepting: readonly EndpointTableRow[],
  tried: ReadonlySet<EndpointId>,
): number {
  const accepted = new Set(accepting.map(({ record }) => record.id));
  return rows.filter(({ record: { id } }) => tried.has(id) && !accepted.has(id)).length;
}

function computeShortestWait(
  { rateLimiter, notices }: RouterContext,
  rows: readonly EndpointTableRow[],
): number {
  return Math.min(
    ...rows.map(({ record: { id } }) =>
      Math.max(rateLimiter.computeWaitMs(id), notices.computeWaitMs(id)),
    ),
  );
}

function findExclusion(
  { isDataCentreOut, notices }: RouterContext,
  { record }: EndpointTableRow,
): 'out' | 'leaving' | undefined {
  if (record.state !== 'ready' || notices.isLeaving(record.id)) return 'leaving';
  return isDataCentreOut(record.dataCentre) ? 'out' : undefined;
}

function findLimit(
  { clock, coldRateLimiter, rateLimiter, notices }: RouterContext,
  { record, coldUntil, load }: LoadedRow,
  service: RoutedService | undefined,
): 'cold' | 'limited' | 'waiting' | 'full' | undefined {
  const coldRate = service?.coldRatePerS ?? 0;
  const isCold = coldUntil > clock.monotonic() && coldRate > 0;
  if (isCold && !coldRateLimiter.hasCapacity(record.id, coldRate)) return 'cold';
  if (notices.computeWaitMs(record.id) > 0) return 'waiting';
  if (!rateLimiter.hasCapacity(record.id)) return 'limited';
  return load >= record.slots * maxRequestsPerSlot ? 'full' : undefined;
}

function findHealthIssue(
  { health, notices }: RouterContext,
  { record, isRefusing }: LoadedRow,
  failing: ReadonlySet<string>,
): Candidate['healthIssue'] {
  if (isRefusing) return 'refusing';
  if (record.isSilent) return 'silent';
  if (health.isAvoided(record.id)) return 'unreachable';
  if (notices.isWaitingElsewhere(record.id)) return 'waiting';
  return failing.has(record.id) ? 'failing' : undefined;
}
