import type { EntrySettings } from '@vanillarelay/config';
import {
  toId,
  type AgentClient,
  type DaemonId,
  type DataCentreId,
  type VmId,
} from '@vanillarelay/core';
import { createEntry } from '@vanillarelay/entry';
import { createLink } from '@vanillarelay/link';
import { openAgent } from '../agent/open-agent.js';
import { openControl } from '../control/open-control.js';
import { closeServer } from '../http/close-server.js';
import { serveOn } from '../http/serve-on.js';
import { createProcessContext } from '../platform/create-process-context.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { createEntryServer } from './create-entry-server.js';

/** Time in which the balancer notices that the entry is not ready, while it still serves. */
const readinessNoticeMs = 1_000;

/** Runs an entry process until a signal ends it. */
export async function runEntry(settings: EntrySettings): Promise<void> {
  const context = await createProcessContext(settings);
  const { clock, timeline, histograms } = context;
  const incarnation = Math.floor(clock.now());
  const key = settings.peerKeys[0] ?? '';
  const controls = settings.control.map(({ id, address }) => ({
    id: toId<DaemonId>(id),
    client: openControl(address, key),
  }));
  const agents = new Map<string, AgentClient>();
  const findAgent = (address: string): AgentClient => {
    const agent = agents.get(address) ?? openAgent(address, key);
    agents.set(address, agent);
    return agent;
  };
  const link = createLink({
    ...context,
    controls,
    buildReport: () => ({
      daemon: toId<DaemonId>(settings.id),
      role: 'entry',
      vm: toId<VmId>(settings.vm),
      dataCentre: toId<DataCentreId>(settings.dataCentre),
      address: settings.address,
      incarnation,
      usage: entry.takeUsage(),
    }),
  });
  const entry = createEntry({
    ...context,
    link,
    openAgent: findAgent,
    propose: (command, signal) => controls[0]!.client.propose(command, signal),
  });
  const server = createEntryServer({
    entry,
    operatorKeys: settings.operatorKeys,
    listTimeline: () => timeline.list(),
    listHistograms: () => histograms.list(),
  });
  await serveOn(server, settings.address);
  link.start();
  timeline.record('process.started', { role: 'entry', address: settings.address });
  await waitForSignal();
  timeline.record('process.stopping', { running: entry.countRunning() });
  entry.stop();
  await clock.wait(readinessNoticeMs);
  await closeServer(server);
  link.stop();
  controls.forEach(({ client }) => client.close());
}
