import type { Announcement, DispatchRequest } from '@vanillarelay/core';
import { createAdmission } from './admission/create-admission.js';
import { createGate } from './admission/create-gate.js';
import { createWarmUp } from './admission/create-warm-up.js';
import type { AgentOptions } from './agent-options.js';
import { createCrashReporter } from './suspects/create-crash-reporter.js';
import { createDeparture } from './create-departure.js';
import { createHandlers } from './create-handlers.js';
import { createChatDirectory } from './directory/create-chat-directory.js';
import { createRecomputeEstimate } from './directory/create-recompute-estimate.js';
import { createDispatcher } from './executor/create-dispatcher.js';
import { createExecutor } from './executor/create-executor.js';
import { createOrderRunner } from './orders/create-order-runner.js';
import { createRecords } from './records/create-records.js';
import { createStreamTable } from './streams/create-stream-table.js';
import { createHealthMonitor } from './suspects/create-health-monitor.js';
import { createInFlight } from './suspects/create-in-flight.js';
import { createCrashMarks } from './suspects/create-crash-marks.js';

const healthIntervalMs = 250;

/** Creates the agent of one endpoint; all requests to the endpoint pass through it. */
export function createAgent(options: AgentOptions) {
  const { id, service, slots, incarnation, clock, timeline, endpoint, control, findLink } = options;
  const { propose } = control;
  const stopping = new AbortController();
  let sequence = 0;

  const readState = () => findLink().readView().state;
  const gate = createGate({
    ...options,
    isLeaving: () => departure.isLeaving(),
    isEndpointUp: () => health.isUp(),
  });
  const { readService } = gate;
  const warmUp = createWarmUp({ slots, timeline, readService });
  const readLimit = () =>
    Math.min(slots, warmUp.readLimit(), gate.readLoadBound(admission.countRunning()));
  const admission = createAdmission({ clock, readLimit, checkOpen: gate.checkOpen });
  const directory = createChatDirectory(options);
  const streams = createStreamTable({ clock });
  const inFlight = createInFlight(clock);
  const marks = createCrashMarks({ clock, readState });
  const recomputeEstimate = createRecomputeEstimate();
  const records = createRecords({ ...options, propose });
  const crashReporter = createCrashReporter({
    ...options,
    propose,
    inFlight,
    marks,
    handleDeath: () => {
      warmUp.reset('endpoint died');
      directory.clearHeld();
    },
  });
  const health = createHealthMonitor({
    clock,
    timeline,
    endpoint,
    handleDeath: crashReporter.handleDeath,
    handleHealth: ({ cold }) => {
      warmUp.updateHealth(cold);
      // The endpoint reports itself cold at each check until it is warm; the first report resets.
      if (cold && !warmUp.isCold()) warmUp.reset('endpoint says so');
      admission.recheck();
    },
  });
  const executor = createExecutor({
    ...options,
    gate,
    warmUp,
    directory,
    streams,
    inFlight,
    recomputeEstimate,
    handleBrokenConnection: health.check,
    handleSuccess: (request: DispatchRequest) => crashReporter.handleSuccess(request.fingerprint),
  });
  const dispatcher = createDispatcher({
    ...options,
    gate,
    admission,
    directory,
    marks,
    recomputeEstimate,
    readLimit,
    records,
    executor,
    findMember: (memberId) =>
      [...findLink().readView().members.values()].find((member) => member.id === memberId),
  });
  const orders = createOrderRunner({
    ...options,
    propose,
    readState,
    isIsolated: () => findLink().readContact() === 'isolated',
    handleOrder: () => warmUp.reset('order'),
  });
  const departure = createDeparture({ ...options, gate, admission, records, directory, warmUp });
  const handlers = createHandlers({ ...options, dispatcher, directory, streams, gate });

  const readStatus = (): Announcement['status'] => {
    if (gate.isDeparting() || !health.isUp()) return 'leaving';
    return warmUp.isCold() ? 'cold' : 'ready';
  };

  const buildAnnouncement = (): Announcement => {
    sequence += 1;
    const { address, vm, dataCentre } = options;
    return {
      id,
      service,
      address,
      vm,
      dataCentre,
      incarnation,
      status: readStatus(),
      slots,
      sequence,
      running: admission.countRunning(),
    };
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      void health.check();
      inFlight.removeExpired();
      departure.update();
      void directory.updatePlacements();
      void orders.runNewest();
      await clock.wait(healthIntervalMs, stopping.signal);
    }
  };

  return {
    handlers,
    buildAnnouncement,
    /** Starts to check the endpoint's health and to follow the replicated state. */
    start: (): void => {
      void run();
    },
    stop: (): void => stopping.abort(),
    /** Resolves when no request is running and the caches have been transferred. */
    drain: departure.drain,
    /** Executes an engine order; rejects a stale one with a `RelayError`. */
    receiveOrder: orders.receive,
  };
}
