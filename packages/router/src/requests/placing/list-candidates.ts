import type { EndpointId, ServiceId } from '@vanillarelay/core';
import type { Candidate, EndpointTableRow, RoutedService } from '@vanillarelay/routing';
import type { EngineMemory, MemoryNeed } from '@vanillarelay/scheduling';
import type { RouterContext } from '../router-context.js';
import type { CandidateList } from './candidate-list.js';
import type { CandidateRequest } from './candidate-request.js';
import { maxRequestsPerSlot } from './max-requests-per-slot.js';
import { selectVersions } from './select-versions.js';

/** An endpoint with what is decided by more than once. */
interface LoadedRow extends EndpointTableRow {
  load: number;
  /** Whether it refuses connections. */
  isRefusing: boolean;
}

/** Lists the endpoints of a service that may receive one more request. */
export function listCandidates(
  context: RouterContext,
  id: ServiceId,
  service: RoutedService | undefined,
  request: CandidateRequest = anyRequest,
): CandidateList {
  const { endpoints, health, loads } = context;
  const { key, tried, memoryNeed } = request;
  const passedOver: CandidateList['passedOver'] = {};
  const countReason = (reason: keyof CandidateList['passedOver']): void => {
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
  const memory = checkMemory(context, accepting, service?.engineMemoryTokens, memoryNeed);
  // Without an endpoint with more memory, prompts are better off where they are cached.
  const isMemoryPreferred = [...memory.values()].includes('free');
  const withCapacity = accepting.flatMap((row): Candidate[] => {
    const { record, load } = row;
    const reason = findLimit(context, row, service, memory.get(record.id));
    if (reason) {
      countReason(reason);
      return [];
    }
    const isShort = isMemoryPreferred && memory.get(record.id) === 'short';
    const healthIssue = findHealthIssue(context, row, failing) ?? (isShort ? 'memory' : undefined);
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
  return {
    ...{ open, total, meanLoad, waitMs, passedOver },
    places: accepting.reduce((sum, { record }) => sum + record.slots * maxRequestsPerSlot, 0),
    load: accepting.reduce((sum, row) => sum + row.load, 0),
    freePlaces: accepting.reduce(
      (sum, { record, load }) => sum + Math.max(0, record.slots * maxRequestsPerSlot - load),
      0,
    ),
  };
}

const anyRequest: CandidateRequest = { key: '', tried: new Set() };

function countTried(
  rows: readonly EndpointTableRow[],
  accepting: readonly EndpointTableRow[],
  tried: ReadonlySet<EndpointId>,
): number {
  const accepted = new Set(accepting.map(({ record }) => record.id));
  return rows.filter(({ record: { id } }) => tried.has(id) && !accepted.has(id)).length;
}

/** Checks the memory of engines for a request; empty without a bound or a prompt. */
function checkMemory(
  { engineMemory, loads }: RouterContext,
  rows: readonly LoadedRow[],
  memoryTokens: number | undefined,
  need: MemoryNeed | undefined,
): Map<string, ReturnType<EngineMemory['check']>> {
  if (memoryTokens === undefined || !need) return new Map();
  return new Map(
    rows.map(({ record: { id }, load }) => {
      const remoteLoad = load - loads.readOwn(id);
      return [id, engineMemory.check(id, { need, memoryTokens, remoteLoad })];
    }),
  );
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
  memory: ReturnType<EngineMemory['check']> | undefined,
): 'cold' | 'limited' | 'waiting' | 'full' | 'memory' | undefined {
  const coldRate = service?.coldRatePerS ?? 0;
  const isCold = coldUntil > clock.monotonic() && coldRate > 0;
  if (isCold && !coldRateLimiter.hasCapacity(record.id, coldRate)) return 'cold';
  if (notices.computeWaitMs(record.id) > 0) return 'waiting';
  if (!rateLimiter.hasCapacity(record.id)) return 'limited';
  if (load >= record.slots * maxRequestsPerSlot) return 'full';
  return memory === 'none' ? 'memory' : undefined;
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
