import { randomBytes, randomInt } from 'node:crypto';
import type { Server } from 'node:http';
import {
  createHash,
  createHlc,
  createInputAge,
  createTimeline,
  toId,
  type Clock,
  type DaemonId,
  type DataCentreId,
  type Disk,
  type VmId,
} from '@vanillarelay/core';
import { listenOn, splitAddress, waitForInput } from '@vanillarelay/daemon';
import { createFleetNode, type DaemonInfo } from '@vanillarelay/fleet';
import { createEndpointTable, type RoutingConfig } from '@vanillarelay/routing';
import { createRouter } from '../create-router.js';
import { createFrontServer } from '../front/create-front-server.js';
import { computeLatenessLimits } from '../loop/compute-lateness-limits.js';
import { createLateness } from '../loop/create-lateness.js';
import { runEvery } from '../loop/run-every.js';
import { createLog } from '../log/create-log.js';
import type { LogEvent } from '../log/log-event.js';
import { createMemoryBudget } from '../memory/create-memory-budget.js';
import { buildControlGauges } from '../metrics/build-control-gauges.js';
import { countEndpoints } from '../metrics/count-endpoints.js';
import { buildMemoryGauges } from '../metrics/build-memory-gauges.js';
import { createMetricsServer } from '../metrics/create-metrics-server.js';
import { createMetrics } from '../metrics/create-metrics.js';
import { observeLoopDelay } from '../metrics/observe-loop-delay.js';
import { createFleetServer } from '../transport/create-fleet-server.js';
import { openFleetPeer } from '../transport/open-fleet-peer.js';
import type { RouterWire } from '../wire/router-wire.js';
import type { ControlCalls } from './control-calls.js';
import { createControlCalls } from './create-control-calls.js';
import { createRolloutLog } from './create-rollout-log.js';
import { createStopPlan } from './create-stop-plan.js';
import { loadSettings } from './load-settings.js';
import { createRolloutState } from './create-rollout-state.js';
import type { RouterFeatures } from './router-features.js';
import type { RouterSettings } from './router-settings.js';
import { runRollouts } from './run-rollouts.js';
import { runShutdown } from './run-shutdown.js';
import { observeSettings } from './observe-settings.js';
import { observeUnexpectedErrors } from './observe-unexpected-errors.js';

interface RunRouterOptions {
  settingsPath: string;
  clock: Clock;
  openDisk: (folder: string) => Promise<Disk>;
  wire: RouterWire;
  decodeConfig: (source: string) => RoutingConfig;
  /** Decodes which optional parts the deployment's terms switch on. */
  decodeFeatures: (terms: readonly string[]) => RouterFeatures;
  /** Creates the server for operators and endpoints. */
  createControlServer: (calls: ControlCalls, settings: RouterSettings, clock: Clock) => Server;
  /** Creates the server for readiness checks. */
  createReadinessServer: (calls: ControlCalls) => Server;
}

const randomRange = 2 ** 47;
const idBytes = 8;
/** Number of announcements that may be missed before an endpoint is marked silent. */
const maxMissedAnnouncements = 4;

/** Age of the last contact to a hub from which this daemon does not know which others are late. */
const contactAgeLimitMs = 2_000;
const latenessIntervalMs = 250;

/** Delay of the event loop that is logged. */
const lateLoopMs = 200;

/** Runs a router daemon until it is stopped by a signal. */
export async function runRouter(options: RunRouterOptions): Promise<void> {
  const { clock, wire, decodeConfig } = options;
  const settings = await loadSettings(options.settingsPath);
  const { id, dataCentre, listen } = settings;
  const log = createLog({ process: id, monotonic: clock.monotonic });
  const self: DaemonInfo = {
    id: toId<DaemonId>(id),
    incarnation: randomBytes(idBytes).toString('hex'),
    address: `${settings.ip}:${settings.peerPorts[0]}`,
    dataCentre: toId<DataCentreId>(dataCentre),
  };
  observeUnexpectedErrors({ source: process, clock, log, exit: (code) => process.exit(code) });
  log.write('process.starting', { ...self, isFirstStart: settings.isFirstStart });
  const timeline = createTimeline({
    hlc: createHlc(clock),
    process: self.id,
    vm: toId<VmId>(id),
    dataCentre: self.dataCentre,
  });
  void timeline.events.observe(({ name, details }) => log.write(name as LogEvent, details));
  const readRandom = () => randomInt(randomRange) / randomRange;
  const hash = await createHash();
  const endpoints = createEndpointTable({
    clock,
    silenceMs: settings.announcePeriodMs * maxMissedAnnouncements,
    reportContradiction: ({ id: endpoint, service, address }, known) =>
      log.write('endpoint.contradicted', {
        ...{ endpoint, service, address },
        known: { service: known.service, address: known.address },
      }),
  });
  let seeds = toPeerAddresses(settings);
  const stop = createStopPlan(clock);
  const inputAge = createInputAge({ clock, scheduleTurn: setImmediate });
  const metrics = createMetrics();
  const features = options.decodeFeatures(settings.terms ?? []);
  const lateness = createLateness({
    clock,
    notify: (change, details) => log.write(`router.${change}`, details),
  });
  void observeLoopDelay(clock, (delayMs) => {
    metrics.recordLoopDelay(delayMs);
    lateness.record(delayMs);
    if (delayMs >= lateLoopMs) log.write('loop.late', { ms: Math.round(delayMs) });
  });
  const memory = createMemoryBudget((settings.memoryLimitMb ?? defaultMemoryMb) * bytesPerMb);
  const router = createRouter({
    memory,
    features,
    ...{ clock, hash, wire, endpoints, random: readRandom },
    self: self.id,
    dataCentre: self.dataCentre,
    listRouters: () => node.view.daemons.map((info) => info.id),
    retryRatio: settings.retries.ratio,
    retryWindowMs: settings.retries.windowS * msPerS,
    retryExtra: settings.retries.extra,
    coldMultiplier: settings.coldEndpoints.multiplier,
    coldSlack: settings.coldEndpoints.slackPerS,
    stopSignal: stop.signal,
    recordDelay: (ms) => {
      metrics.recordSendDelay(ms);
      lateness.record(ms);
    },
    ...(settings.rollouts ? { rollouts: settings.rollouts } : {}),
    readContactAt: () => node.view.quorumContactAt,
    record: log.write,
  });
  const front = createFrontServer({
    clock,
    memory,
    wire,
    readTable: router.readTable,
    isClosing: () => stop.isStopping() || lateness.isOut(),
    stopSignal: stop.startSignal,
    canComplete: stop.canComplete,
    estimateArrival: router.estimateArrival,
    startAge: inputAge.startAge,
    run: router.run,
    report: (request, result) => {
      const ms = Math.round(clock.monotonic() - request.startedAt);
      metrics.recordRequest(request.route ?? '', result, ms);
      const isAnsweredByFirstSend = result.outcome === 'answered' && result.sends.length === 1;
      log.write(isAnsweredByFirstSend ? 'request.answered' : `request.${result.outcome}`, {
        ...{ request: request.id, route: request.route, version: request.version, ms },
        ...{ status: result.status, refusal: result.refusal, sends: result.sends },
        ...(request.leftAt === undefined
          ? {}
          : { leftAfterMs: Math.round(request.leftAt - request.startedAt) }),
        ...(request.heldMs === undefined ? {} : { heldMs: request.heldMs }),
        ...(result.waitedMs === undefined ? {} : { waitedMs: result.waitedMs }),
        ...(result.waits === undefined ? {} : { waits: result.waits }),
      });
    },
  });
  /** Number of other routers that are late. */
  let lateRouters = 0;
  const logRollouts = createRolloutLog(log);
  /** Version of the configuration that the router runs on. */
  let configVersion = 0;
  const node = createFleetNode({
    ...{ self, clock, timeline, table: endpoints, random: readRandom },
    ...(settings.dataFolder === ''
      ? {}
      : { openDisk: () => options.openDisk(settings.dataFolder) }),
    createDiskId: () => randomBytes(idBytes).toString('hex'),
    openPeer: (address) => openFleetPeer({ address, recordBytes: metrics.recordBytes }),
    listSeeds: () => seeds,
    waitForInput,
    isFirstStart: settings.isFirstStart,
    readObservations: () => ({
      ...router.readObservations(),
      ...(lateness.isAnnounced() ? { lateRouters: 1 } : {}),
    }),
    notifyObservations: (observations) => {
      lateRouters = observations.lateRouters ?? 0;
      router.updateObservations(observations);
    },
    notifyState: (state) => {
      router.updateDataCentresOut(state.dataCentresOut);
      logRollouts(node.listRollouts());
      if (node.view.isCurrent) router.updateRollouts(node.listRollouts());
      if (state.version === 0) return;
      if (state.version !== configVersion) {
        configVersion = state.version;
        router.updateConfig(decodeConfig(state.source));
        const table = router.readTable();
        if (table) front.updateTable(table);
      }
      const { index, version, dataCentresOut } = state;
      log.write('state.inForce', { index, version, dataCentresOut });
    },
  });
  const updateLateness = (): void => {
    const table = router.readTable();
    const { daemons, quorumContactAt } = node.view;
    const hasContact = clock.monotonic() - quorumContactAt <= contactAgeLimitMs;
    lateness.update({
      limits: table && computeLatenessLimits(table.config.routes),
      fleet: hasContact ? { late: lateRouters, routers: daemons.length } : undefined,
    });
  };
  const hasState = (): boolean =>
    !stop.isStopping() && node.view.isCurrent && router.readTable() !== undefined;
  const calls = createControlCalls({
    ...{ clock, inputAge, node, endpoints, log, decodeConfig },
    recordOrder: metrics.recordOrder,
    hasState,
    hasService: (service) => router.readTable()?.findService(service) !== undefined,
    isReady: () => hasState() && !lateness.isOut(),
  });
  metrics.registerGauges(() => ({
    relay_config_version: node.view.state.version,
    relay_state_index: node.view.state.index,
    relay_routers_known: node.view.daemons.length,
    relay_hub_contact_age_ms: Math.round(clock.monotonic() - node.view.quorumContactAt),
    ...buildControlGauges(node.readControlSummary()),
    ...countEndpoints(endpoints),
    ...router.readRetryGauges(),
    relay_is_late: Number(lateness.isOut()),
    relay_late_routers: lateRouters,
    ...router.readRolloutGauges(),
    ...router.readWaitGauges(),
    relay_limited_endpoints: router.countLimitedEndpoints(),
    relay_blocked_suspects: router.countBlockedSuspects(),
    relay_log_lines_lost: log.countLost(),
    ...buildMemoryGauges(memory),
  }));
  const { metrics: metricsAddress } = listen;
  const controlServer = options.createControlServer(calls, settings, clock);
  controlServer.on('connection', inputAge.observeConnection);
  const servers: [Server, string][] = [
    [front, listen.callers],
    [options.createReadinessServer(calls), listen.readiness],
    [controlServer, listen.control],
    [
      createFleetServer({ handlers: node.handlers, formatMetrics: () => metrics.format() }),
      listen.peers ?? self.address,
    ],
    ...(metricsAddress === undefined
      ? []
      : [[createMetricsServer(() => metrics.format()), metricsAddress] as [Server, string]]),
  ];
  const listening = Promise.all(servers.map(([server, address]) => listenOn(server, address)));
  // The disk is opened and the hubs are looked for meanwhile.
  node.start();
  await listening;
  servers.forEach(([server, address]) =>
    server.on('error', ({ message }) =>
      log.write('server.failed', { address, reason: message }, true),
    ),
  );
  const rolloutState = settings.rollouts && createRolloutState(node);
  if (rolloutState) {
    void runRollouts({
      ...{ clock, log, router, state: rolloutState, signal: stop.signal },
      isHub: node.isHub,
    });
  }
  log.write('process.started', { id, listen, peers: self.address });
  observeSettings({
    clock,
    path: options.settingsPath,
    log,
    apply: (next) => {
      seeds = toPeerAddresses(next);
    },
  });
  if (features.scheduling) void runEvery(clock, latenessIntervalMs, updateLateness);
  stop.startSignal.addEventListener('abort', node.startLeaving, { once: true });
  await runShutdown({
    ...{ clock, log, front, stop, graceMs: settings.graceS * msPerS },
    isAwaitingLeave: node.isAwaitingLeave,
  });
  node.stop();
  log.close();
}

const msPerS = 1_000;
const bytesPerMb = 1_024 * 1_024;
/** Memory limit of a process whose settings name none. */
const defaultMemoryMb = 256;

/** Converts the seeds to addresses for calls between daemons; ports are the same on all VMs. */
function toPeerAddresses({ seeds, peerPorts }: RouterSettings): string[] {
  return seeds.map((seed) => `${splitAddress(seed).host}:${peerPorts[0]}`);
}
