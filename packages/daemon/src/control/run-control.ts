import type { ControlSettings } from '@vanillarelay/config';
import { createHub, createMemoryStore } from '@vanillarelay/control';
import { toId, type DaemonId } from '@vanillarelay/core';
import { serveOn } from '../http/serve-on.js';
import { createProcessContext } from '../platform/create-process-context.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { listConfigChanges } from './list-config-changes.js';
import { loadTrust } from '../trust/load-trust.js';
import { createControlRouter } from './create-control-router.js';
import { createControlServer } from './create-control-server.js';
import { openControl } from './open-control.js';

/** Runs a control process until a signal ends it. */
export async function runControl(settings: ControlSettings): Promise<void> {
  const context = await createProcessContext(settings);
  const { timeline } = context;
  const trust = await loadTrust(settings);
  const store = createMemoryStore();
  const peers = settings.group
    .filter(({ id }) => id !== settings.id)
    .map(({ id, address }) => ({ id: toId<DaemonId>(id), peer: openControl(address, trust) }));
  const hub = createHub({ ...context, id: toId<DaemonId>(settings.id), store, peers });
  const router = createControlRouter({
    exchange: hub.exchange,
    readQuorum: hub.readQuorum,
    gossip: hub.gossip,
    propose: store.propose,
    readState: () => store.readState().daemon,
    readRollout: hub.readRollout,
    listDaemons: hub.listDaemons,
    listHistory: () => listConfigChanges(store.readState().history),
    listEndpoints: hub.listEndpoints,
    listTimeline: () => timeline.list(),
  });
  const server = createControlServer({
    router,
    peerKeys: settings.peerKeys,
    operatorKeys: settings.operatorKeys,
    tls: trust.tls,
    reportStranger: (address) => timeline.record('stranger.refused', { address }),
    reportRefusal: (path, message) => timeline.record('message.refused', { path, message }),
  });
  await serveOn(server, settings.address);
  hub.start();
  timeline.record('process.started', { role: 'control', address: settings.address });
  await waitForSignal();
  hub.stop();
  peers.forEach(({ peer }) => peer.close());
  server.stop();
}
