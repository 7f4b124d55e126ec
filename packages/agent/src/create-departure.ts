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

/** Two exchanges: after them the hub and the entries know that the endpoint leaves. */
const announceMs = 1_000;
const outcomePollMs = 100;
const outcomeLimitMs = 10_000;

/** Makes the planned departure of the endpoint: by signal, by drain or with its data centre. */
export function createDeparture(options: DepartureOptions) {
  const { clock, timeline, gate, admission, records, warmUp } = options;
  let isLeaving = false;
  let wasAway = false;
  let wasOut = false;

  const waitForOutcomes = async (): Promise<void> => {
    const limitAt = clock.monotonic() + outcomeLimitMs;
    while (records.countUnfinished() > 0 && clock.monotonic() < limitAt) {
      await clock.wait(outcomePollMs);
    }
  };

  const drain = async (): Promise<void> => {
    isLeaving = true;
    timeline.record('agent.leaving', { running: admission.countRunning() });
    admission.recheck();
    await Promise.all([clock.wait(announceMs), admission.waitUntilIdle()]);
    await waitForOutcomes();
    await exportCaches(options);
    timeline.record('agent.left', {});
  };

  const exportWhenIdle = async (): Promise<void> => {
    await admission.waitUntilIdle();
    if (wasAway && !isLeaving) await exportCaches(options);
  };

  /** Follows drains and data centres taken out or brought back. */
  const update = (): void => {
    const isOut = gate.isDataCentreOut();
    // A whole data centre that returns at once would otherwise run into cold engines.
    if (wasOut && !isOut) warmUp.reset('data centre returned');
    wasOut = isOut;
    const isAway = isOut || gate.isDeparting();
    if (isAway && !wasAway && !isLeaving) void exportWhenIdle();
    wasAway = isAway;
  };

  return { drain, update, isLeaving: () => isLeaving };
}
