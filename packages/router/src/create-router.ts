import type { Clock, DaemonId, DataCentreId, Hash, Random } from '@vanillarelay/core';
import type { Observations } from '@vanillarelay/fleet';
import {
  createColdRateLimiter,
  createCrashRecord,
  createHealthTracker,
  createNoticeTracker,
  createLoadView,
  createRateLimiter,
  createRetryBudget,
  createRolloutTraffic,
  createRouteTable,
  type EndpointTable,
  type KnownRollout,
  type RolloutBounds,
  type RolloutProposal,
  type RolloutTraffic,
  type RouteTable,
  type RoutingConfig,
} from '@vanillarelay/routing';
import {
  createEngineMemory,
  createPlaceLimits,
  createServiceShares,
} from '@vanillarelay/scheduling';
import { createConnectionPool } from './dispatch/create-connection-pool.js';
import { createSendQueue } from './dispatch/create-send-queue.js';
import type { RouterFeatures } from './daemon/router-features.js';
import type { LogEvent } from './log/log-event.js';
import { createLoopMonitor } from './loop/create-loop-monitor.js';
import type { MemoryBudget } from './memory/memory-budget.js';
import { buildRolloutGauges } from './metrics/build-rollout-gauges.js';
import { createWorkPlacement } from './requests/placing/create-work-placement.js';
import type { RequestResult } from './requests/request-result.js';
import type { RoutedRequest } from './requests/routed-request.js';
import { runRequest } from './requests/run-request.js';
import { readSchedulingReports } from './requests/waiting/read-scheduling-reports.js';
import { createServiceQueues } from './requests/waiting/create-service-queues.js';
import type { RouterWire } from './wire/router-wire.js';

interface RouterOptions {
  clock: Clock;
  random: Random;
  hash: Hash;
  self: DaemonId;
  dataCentre: DataCentreId;
  wire: RouterWire;
  endpoints: EndpointTable;
  listRouters: () => readonly DaemonId[];
  retryRatio: number;
  retryWindowMs: number;
  retryExtra: number;
  coldMultiplier: number;
  coldSlack: number;
  features: RouterFeatures;
  /** Bounds on roll-outs; without them versions decide nothing. */
  rollouts?: RolloutBounds;
  /** Monotonic time of the last exchange with a hub that had recent contact with a quorum. */
  readContactAt?: () => number;
  /** Memory that this process may hold for others. */
  memory: MemoryBudget;
  /** Aborted when this process stops and must end the requests that still run. */
  stopSignal: AbortSignal;
  /** Records for how long this process delayed a request, apart from any wait for an endpoint. */
  recordDelay: (ms: number) => void;
  /** Writes a line to the log. */
  record: (event: LogEvent, details: object) => void;
}

/** Creates a daemon's request router, including its records of loads, outcomes and crashes. */
export function createRouter(options: RouterOptions) {
  const { clock, random, hash, self, dataCentre, wire, endpoints, listRouters, record } = options;
  const { stopSignal, memory, features } = options;
  let table: RouteTable | undefined;
  let dataCentresOut: ReadonlySet<DataCentreId> = new Set();
  const loads = createLoadView();
  const running = new Set<() => void>();
  stopSignal.addEventListener('abort', () => running.forEach((abort) => abort()), { once: true });
  const loop = createLoopMonitor({ clock, scheduleTurn: setImmediate });
  const sendQueue = createSendQueue(loop);
  const context = {
    ...{
      clock,
      random,
      hash,
      dataCentre,
      wire,
      endpoints,
      loads,
      record,
      stopSignal,
      running,
      memory,
      features,
      recordDelay: options.recordDelay,
    },
    pool: createConnectionPool(),
    sendQueue,
    workPlacement: createWorkPlacement({
      ...{ clock, random, hash, dataCentre, endpoints },
      countRouters: () => listRouters().length,
    }),
    queues: createServiceQueues({
      clock,
      // Requests that wait came before those that enter the send queue now.
      waitForTurn: () =>
        sendQueue.waitForTurn({ priority: 0, deadlineAt: clock.monotonic(), signal: stopSignal }),
    }),
    shares: createServiceShares({ random }),
    placeLimits: createPlaceLimits({ hash, self, listRouters }),
    engineMemory: createEngineMemory(),
    health: createHealthTracker(clock),
    crashes: createCrashRecord({
      ...{ clock, hash, self, listRouters },
      notify: (change, suspect, crashes) => record(`suspect.${change}`, { suspect, crashes }),
    }),
    budget: createRetryBudget({
      clock,
      ratio: options.retryRatio,
      windowMs: options.retryWindowMs,
      extra: options.retryExtra,
      countRouters: () => listRouters().length,
    }),
    rateLimiter: createRateLimiter({
      ...{ clock, hash, self, listRouters },
      findService: (id) => endpoints.find(id)?.record.service,
      notify: (endpoint, limitPerS = 0) => record('endpoint.limited', { endpoint, limitPerS }),
    }),
    notices: createNoticeTracker({
      clock,
      findStart: (id) => endpoints.find(id)?.record.bornAt,
      reportLeaving: (endpoint) => record('endpoint.leaving', { endpoint }),
      reportWait: (endpoint, waitMs) => record('endpoint.waiting', { endpoint, waitMs }),
    }),
    coldRateLimiter: createColdRateLimiter({
      ...{ clock, hash, self, listRouters },
      multiplier: options.coldMultiplier,
      slack: options.coldSlack,
    }),
    isDataCentreOut: (id: DataCentreId) => dataCentresOut.has(id),
    ...(options.rollouts ? { rollouts: createRollouts(options, options.rollouts) } : {}),
  };
  const { rollouts } = context;
  return {
    /** What this daemon observed, for the other daemons. */
    readObservations: (): Observations => ({
      loads: loads.readLocal(),
      outcomes: context.health.readLocal(),
      crashes: context.crashes.readLocal(),
      rates: context.rateLimiter.readLocal(),
      notices: context.notices.readLocal(),
      ...(rollouts?.isInProgress() ? { versions: rollouts.readLocal() } : {}),
      work: context.workPlacement.readLocal(),
      ...(features.scheduling ? readSchedulingReports(context, table) : {}),
    }),
    updateObservations: ({
      loads: counts,
      outcomes,
      crashes,
      rates,
      notices,
      work,
      versions = {},
      demand = {},
      heldTokens = {},
    }: Observations): void => {
      loads.updateRemote(counts);
      context.health.updateRemote(outcomes);
      context.crashes.updateRemote(crashes);
      context.rateLimiter.updateRemote(rates);
      context.notices.updateRemote(notices);
      context.workPlacement.updateRemote(work);
      rollouts?.updateRemote(versions);
      context.placeLimits.reset();
      context.shares.updateRemote(demand, clock.monotonic());
      context.engineMemory.updateRemote(heldTokens);
      context.queues.wakeAll();
    },
    readTable: () => table,
    estimateArrival: loop.estimateArrival,
    /** Number of contents and prompt parts that are blocked because they crash endpoints. */
    countBlockedSuspects: () => context.crashes.countBlocked(),
    /** Number of endpoints that name a limit of requests per second. */
    countLimitedEndpoints: () => context.rateLimiter.countLimited(),
    /** Gauges of the requests that wait for a place, and of the places that this router uses. */
    readWaitGauges: (): Record<string, number> => ({
      ...context.queues.readGauges(),
      ...Object.fromEntries(
        [...context.shares.countRunning()].map(([service, count]) => [
          `relay_places_used{service="${service}"}`,
          count,
        ]),
      ),
    }),
    /** Gauges of the remaining retry budget of each service. */
    readRetryGauges: (): Record<string, number> =>
      Object.fromEntries(
        (table?.config.services ?? []).map(({ id }) => [
          `relay_repeats_left{service="${id}"}`,
          context.budget.readRemaining(id),
        ]),
      ),
    /** Takes the last roll-out of each service, from a state that a quorum has confirmed. */
    updateRollouts: (list: readonly KnownRollout[]): void => rollouts?.updateRollouts(list),
    /** The ends of roll-outs that a hub should propose now. */
    listRolloutProposals: (): RolloutProposal[] =>
      rollouts?.listProposals((service, to) =>
        endpoints
          .listService(service)
          .every(({ record: { id, version } }) => version === to || loads.estimate(id) === 0),
      ) ?? [],
    /** Gauges of the roll-outs in progress, by service and version. */
    readRolloutGauges: (): Record<string, number> => buildRolloutGauges(rollouts?.list() ?? []),
    updateConfig: (config: RoutingConfig): void => {
      if (table && config.version <= table.config.version) return;
      table = createRouteTable(config);
    },
    /**
     * Sets the data centres that are taken out; endpoints in those brought back are marked cold.
     */
    updateDataCentresOut: (ids: readonly DataCentreId[]): void => {
      const next = new Set(ids);
      const findColdMs = (service: Parameters<RouteTable['findService']>[0]) =>
        table?.findService(service)?.coldPeriodMs ?? 0;
      dataCentresOut.forEach((id) => {
        if (!next.has(id)) endpoints.markCold(id, findColdMs);
      });
      dataCentresOut = next;
    },
    run: (request: RoutedRequest): Promise<RequestResult> => runRequest(context, request),
  };
}

function createRollouts(options: RouterOptions, bounds: RolloutBounds): RolloutTraffic {
  const { clock, hash, endpoints, record, readContactAt = () => 0 } = options;
  return createRolloutTraffic({
    ...{ clock, hash, bounds, readContactAt },
    listEndpoints: (service, version) =>
      endpoints
        .listService(service)
        .filter((row) => row.record.version === version)
        .map(({ record: { id, dataCentre } }) => ({ id, dataCentre })),
    notifyStep: (service, to, step) => record('rollout.step', { service, to, ...step }),
    notifyVerdict: (service, to, verdict) => record('rollout.judged', { service, to, ...verdict }),
  });
}
