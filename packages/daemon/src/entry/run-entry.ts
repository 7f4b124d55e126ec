import type { EntrySettings } from '@vanillarelay/config';
import { toId, type DaemonId, type DataCentreId, type VmId } from '@vanillarelay/core';
import { createEntry } from '@vanillarelay/entry';
import { createLink } from '@vanillarelay/link';
import { createAgentOpener } from '../agent/create-agent-opener.js';
import { openControl } from '../control/open-control.js';
import { serveOn } from '../http/serve-on.js';
import { createProcessContext } from '../platform/create-process-context.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { loadTrust } from '../trust/load-trust.js';
import { createEntryServer } from './create-entry-server.js';

/** Runs an entry process until a signal ends it. */
export async function runEntry(settings: EntrySettings): Promise<void> {
  const context = await createProcessContext(settings);
  const { timeline } = context;
  const trust = await loadTrust(settings);
  const controls = settings.control.map(({ id, address }) => ({
    id: toId<DaemonId>(id),
    client: openControl(address, trust),
  }));
  const findAgent = createAgentOpener(trust);
  const incarnation = Math.floor(context.clock.now());
  const link = createLink({
    ...context,
    controls,
    openPeer: findAgent,
    buildReport: () => ({
      daemon: toId<DaemonId>(settings.id),
      role: 'entry',
      vm: toId<VmId>(settings.vm),
      dataCentre: toId<DataCentreId>(settings.dataCentre),
      address: settings.address,
      incarnation,
    }),
  });
  const entry = createEntry({ ...context, link, openAgent: findAgent });
  const server = createEntryServer({
    handle: entry.handle,
    isReady: entry.isReady,
    operatorKeys: settings.operatorKeys,
    tls: trust.tls,
    listTimeline: () => timeline.list(),
  });
  await serveOn(server, settings.address);
  link.start();
  timeline.record('process.started', { role: 'entry', address: settings.address });
  await waitForSignal();
  link.stop();
  server.close();
  server.closeIdleConnections();
  controls.forEach(({ client }) => client.close());
}
