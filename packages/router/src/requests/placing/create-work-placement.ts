import type { Clock, DataCentreId, EndpointId, Hash, Random, ServiceId } from '@vanillarelay/core';
import { chooseEndpoint, type Candidate, type EndpointTable } from '@vanillarelay/routing';
import {
  chooseByFinish,
  createBacklogView,
  createCacheView,
  createHeldShare,
  createHomeOrder,
  createSpeedView,
  createWorkEstimator,
  type Finish,
  type FinishPlacement,
  type FinishRequest,
  type HomeOrder,
  type WorkEstimate,
  type WorkReports,
  type WorkRequest,
} from '@vanillarelay/scheduling';
import type { EndpointLoad } from '../../wire/endpoint-load.js';
import type { Expectation } from './expectation.js';
import type { RunningWork } from './running-work.js';

interface WorkPlacementOptions {
  clock: Pick<Clock, 'monotonic' | 'now'>;
  random: Random;
  hash: Hash;
  dataCentre: DataCentreId;
  endpoints: Pick<EndpointTable, 'find'>;
  countRouters: () => number;
}

type WorkChoice = FinishPlacement & { expectation: Expectation };

/** Time for which a prompt stays where it was sent instead of to its home. */
const keptMs = 20_000;

/**
 * Creates the placement of requests by when their first event is expected. It is used for services
 * of which an endpoint reports how long work takes there.
 */
export function createWorkPlacement(options: WorkPlacementOptions) {
  const { clock, random, hash, dataCentre, endpoints, countRouters } = options;
  const speeds = createSpeedView();
  const caches = createCacheView();
  const heldShare = createHeldShare();
  const backlogs = createBacklogView({ readFactor: speeds.readFactor });

  const orders = new Map<ServiceId, HomeOrder>();

  const findOrder = (service: ServiceId): HomeOrder => {
    const known = orders.get(service);
    if (known) return known;
    const created = createHomeOrder({ hash, readWeight: speeds.readWeight });
    orders.set(service, created);
    return created;
  };

  const readUnread = (request: WorkRequest, id: EndpointId, isHome: boolean) => {
    const now = clock.monotonic();
    const row = endpoints.find(id);
    const since = row?.firstSeenAt ?? now;
    const { shared, own } = caches.countUnread(id, request, since, now);
    const bornAt = row?.record.bornAt ?? 0;
    const ageMs = bornAt > 0 ? clock.now() - bornAt : now - since;
    const homeShare = isHome ? heldShare.estimate(request.service, ageMs, countRouters()) : 0;
    const share = shared === 0 ? 1 : homeShare;
    return { readTokens: shared * (1 - share) + own, heldShare: share };
  };
  const estimator = createWorkEstimator({ readUnread });

  const buildFinish = (estimate: WorkEstimate, id: EndpointId): Finish => {
    const now = clock.monotonic();
    const waitMs = backlogs.estimate(id, now);
    const factor = speeds.readFactor(id, now);
    const ms = (estimate.baseMs + waitMs + estimate.readMs) * factor;
    return { estimate, waitMs, factor, ms };
  };

  const estimateFinish = (request: WorkRequest, id: EndpointId, isHome: boolean): Finish =>
    buildFinish(estimator.estimate(request, id, isHome), id);

  /** Without prompt parts the estimate is the same at all endpoints. */
  const createFinishEstimate = (work: WorkRequest) => {
    if (work.promptParts.length > 0)
      return (id: EndpointId, isHome: boolean) => estimateFinish(work, id, isHome);
    let estimate: WorkEstimate | undefined;
    return (id: EndpointId) => {
      estimate ??= estimator.estimate(work, id, false);
      return buildFinish(estimate, id);
    };
  };

  const choosePlacement = (
    open: readonly Candidate[],
    request: FinishRequest,
    work: WorkRequest,
  ): FinishPlacement | undefined => {
    const isCurrent = backlogs.isCurrent(clock.monotonic()) || countRouters() <= 1;
    if (!isCurrent) {
      const placement = chooseEndpoint(open, request, { hash, random, dataCentre });
      return placement && { ...placement, isHome: placement.reason === 'home' };
    }
    return chooseByFinish(open, request, {
      ...{ hash, random, dataCentre, order: findOrder(work.service) },
      estimateFinish: createFinishEstimate(work),
    });
  };

  const recordFirstEvent = (
    id: EndpointId,
    { request, finish, isHome }: Expectation,
    seenMs: number,
  ): void => {
    const { estimate, waitMs, factor, ms } = finish;
    estimator.recordFirstEvent({ request, estimate, waitMs, factor, seenMs });
    const isHeldKnown = estimate.heldShare === 0 || estimate.heldShare === 1;
    if (isHeldKnown) speeds.recordSeen(id, ms, seenMs);
    if (!isHome || isHeldKnown) return;
    const fullReadMs = (estimate.readMs / (1 - estimate.heldShare)) * factor;
    const heldMs = ms - estimate.readMs * factor;
    heldShare.recordSeen(request.service, heldMs, heldMs + fullReadMs, seenMs);
  };

  return {
    /** Whether requests of a service are placed by their expected cost. */
    isEnabled: (service: ServiceId): boolean => speeds.isReported(service, clock.monotonic()),
    /** Weight of an endpoint in the order of homes, for services that are placed by cost. */
    readWeight: speeds.readWeight,
    /** Records what an endpoint said of its load in an answer. */
    recordLoad: (service: ServiceId, id: EndpointId, { workTimePercent }: EndpointLoad): void => {
      if (workTimePercent !== undefined)
        speeds.recordReport(service, id, workTimePercent, clock.monotonic());
    },
    choose: (
      open: readonly Candidate[],
      request: Omit<FinishRequest, 'keptAt'>,
      work: WorkRequest,
    ): WorkChoice | undefined => {
      const { affinityKey } = request;
      const since = clock.monotonic() - keptMs;
      const keptAt = affinityKey === undefined ? undefined : caches.findMoved(affinityKey, since);
      const kept = keptAt === undefined ? {} : { keptAt };
      const placement = choosePlacement(open, { ...request, ...kept }, work);
      if (!placement) return undefined;
      const { id, reason, isHome } = placement;
      const isMoved = reason === 'sooner' || reason === 'firstRead';
      const finish = estimateFinish(work, id, isHome);
      return { ...placement, expectation: { request: work, finish, isHome, isMoved } };
    },
    /** Records that a request was sent to the endpoint that was chosen for it. */
    startWork: (
      id: EndpointId,
      expectation: Expectation,
      affinityKey: string | undefined,
    ): RunningWork => {
      const { request, finish } = expectation;
      const sentAt = clock.monotonic();
      const sent = backlogs.recordSend(id, finish.estimate.readMs, sentAt);
      caches.recordSend(id, request.promptParts, sentAt);
      if (affinityKey !== undefined) {
        const { isMoved } = expectation;
        const isReturning = caches.recordPlacement(affinityKey, id, isMoved, sentAt);
        heldShare.recordSend(request.service, isReturning);
      }
      let seenMs: number | undefined;
      return {
        recordFirstEvent: () => {
          if (seenMs !== undefined) return;
          const now = clock.monotonic();
          seenMs = now - sentAt;
          backlogs.recordFirstEvent(sent);
          recordFirstEvent(id, expectation, seenMs);
        },
        recordEnd: (isNotRun, outputTokens) => {
          backlogs.recordEnd(sent);
          if (isNotRun) caches.removeSend(id, request.promptParts, sentAt);
          if (outputTokens !== undefined) estimator.recordEnd(request, outputTokens);
        },
        readTimes: () => ({
          expectedMs: Math.round(finish.ms),
          ...(seenMs === undefined ? {} : { seenMs: Math.round(seenMs) }),
        }),
      };
    },
    /** Reading that this router sent and that has not begun, for the other routers. */
    readLocal: (): WorkReports => backlogs.readLocal(clock.monotonic()),
    /** Replaces the reports of the other routers. */
    updateRemote: (reports: WorkReports): void => backlogs.updateRemote(reports, clock.monotonic()),
  };
}
