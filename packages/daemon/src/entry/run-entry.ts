import type { EntrySettings } from '@vanillarelay/config';
import { toId, type DaemonId, type DataCentreId, type VmId } from '@vanillarelay/core';
import { createEntry } from '@vanillarelay/entry';
import { createLink, createProposer, wrapAgentClient } from '@vanillarelay/link';
import { createAgentOpener } from '../agent/create-agent-opener.js';
import { openControl } from '../control/open-control.js';
import { closeServer } from '../http/close-server.js';
import { listenOn } from '../http/listen-on.js';
import { createProcessContext } from '../platform/create-process-context.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { loadPeerCredentials } from '../trust/load-peer-credentials.js';
import { createEntryServer } from './create-entry-server.js';

/** Time for load balancers to see that the entry is not ready, while it still serves requests. */
const readinessNoticeMs = 1_000;

/** Runs an entry process until SIGTERM or SIGINT. */
export async function runEntry(settings: EntrySettings): Promise<void> {
  const context = await createProcessContext(settings);
  const { clock, timeline, histograms } = context;
  const incarnation = Math.floor(clock.now());
  const credentials = await loadPeerCredentials(settings);
  const controls = settings.control.map(({ id, address }) => ({
    id: toId<DaemonId>(id),
    client: openControl(address, credentials),
  }));
  const openAgentClient = createAgentOpener(credentials);
  const link = createLink({
    ...context,
    controls,
    openPeer: openAgentClient,
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
    openAgent: (address) => wrapAgentClient(openAgentClient(address), () => link),
    propose: createProposer({ ...context, controls }),
  });
  const server = createEntryServer({
    entry,
    operatorKeys: settings.operatorKeys,
    tls: credentials.tls,
    listTimeline: () => timeline.list(),
    listHistograms: () => histograms.list(),
  });
  await listenOn(server, settings.address);
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
