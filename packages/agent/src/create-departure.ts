import type { AgentPeer, Clock, EndpointClient, ServiceId, Timeline } from '@vanillarelay/core';
import type { Admission } from './admission/admission.js';
import type { Gate } from './admission/gate.js';
import type { WarmUp } from './admission/warm-up.js';
import type { ChatDirectory } from './directory/chat-directory.js';
import { exportCaches } from './directory/export-caches.js';
import type { Records } from './records/records.js';

interface DepartureOptions {
  service: ServiceId;
  clock: Clock;
  timeline: Timeline;
  endpoint: EndpointClient;
  openAgent: (address: string) => AgentPeer;
  gate: Gate;
  admission: Admission;
  records: Records;
  directory: ChatDirectory;
  warmUp: WarmUp;
}

/** Time for two exchanges with the hub; then the entries also know that the endpoint is leaving. */
const announcementDelayMs = 1_000;
const outcomePollMs = 100;
/** Maximum wait until the outcomes of non-idempotent requests are in the log. */
const outcomeTimeoutMs = 10_000;

/** Creates the departure: it withdraws the endpoint by signal, by drain or with its data centre. */
export function createDeparture(options: DepartureOptions) {
  const { clock, timeline, gate, admission, records, warmUp } = options;
  let isLeaving = false;
  let wasWithdrawn = false;
  let wasDataCentreOut = false;

  const waitForOutcomes = async (): Promise<void> => {
    const deadlineAt = clock.monotonic() + outcomeTimeoutMs;
    while (records.countUnfinished() > 0 && clock.monotonic() < deadlineAt) {
      await clock.wait(outcomePollMs);
    }
  };

  const drain = async (): Promise<void> => {
    isLeaving = true;
    timeline.record('agent.leaving', { running: admission.countRunning() });
    admission.recheck();
    await Promise.all([clock.wait(announcementDelayMs), admission.waitUntilIdle()]);
    await waitForOutcomes();
    await exportCaches(options);
    timeline.record('agent.left', {});
  };

  const exportWhenIdle = async (): Promise<void> => {
    await admission.waitUntilIdle();
    if (wasWithdrawn && !isLeaving) await exportCaches(options);
  };

  /** Reacts when the endpoint is drained or its data centre is taken out or brought back. */
  const update = (): void => {
    const isDataCentreOut = gate.isDataCentreOut();
    // All endpoints of a data centre that is brought back get traffic at once; engines may be cold.
    if (wasDataCentreOut && !isDataCentreOut) warmUp.reset('data centre returned');
    wasDataCentreOut = isDataCentreOut;
    const isWithdrawn = isDataCentreOut || gate.isDeparting();
    if (isWithdrawn && !wasWithdrawn && !isLeaving) void exportWhenIdle();
    wasWithdrawn = isWithdrawn;
  };

  return { drain, update, isLeaving: () => isLeaving };
}
