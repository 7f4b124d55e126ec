import type { ControlSettings } from '@vanillarelay/config';
import { createHub, openReplicatedStore } from '@vanillarelay/control';
import { toId, type DaemonId } from '@vanillarelay/core';
import { listenOn } from '../http/listen-on.js';
import { createProcessContext } from '../platform/create-process-context.js';
import { openFileDisk } from '../platform/open-file-disk.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { listConfigChanges } from './list-config-changes.js';
import { loadPeerCredentials } from '../trust/load-peer-credentials.js';
import { createControlRouter } from './create-control-router.js';
import { createControlServer } from './create-control-server.js';
import { createRaftPeers } from './create-raft-peers.js';
import { openControl } from './open-control.js';

/** Runs a control process until SIGTERM or SIGINT; rejects when its disk fails. */
export async function runControl(settings: ControlSettings): Promise<void> {
  const context = await createProcessContext(settings);
  const { timeline } = context;
  const credentials = await loadPeerCredentials(settings);
  const raftPeers = createRaftPeers(credentials);
  let reportFailure: (error: Error) => void = () => {};
  const failed = new Promise<never>((_, reject) => {
    reportFailure = reject;
  });
  // Prevents an unhandled rejection when the disk fails before the race below awaits the promise.
  failed.catch(() => {});
  let closeDisk = async () => {};
  const store = await openReplicatedStore({
    ...context,
    id: settings.id,
    address: settings.address,
    openDisk: async () => {
      const disk = await openFileDisk(settings.dataFolder);
      closeDisk = disk.close;
      return disk;
    },
    createDiskId: context.createId,
    initialMembers: settings.group,
    openPeer: raftPeers.openPeer,
    reportFailure,
  });
  const peers = settings.group
    .filter(({ id }) => id !== settings.id)
    .map(({ id, address }) => ({
      id: toId<DaemonId>(id),
      peer: openControl(address, credentials),
    }));
  const hub = createHub({ ...context, id: toId<DaemonId>(settings.id), store, peers });
  const router = createControlRouter({
    exchange: hub.exchange,
    readQuorum: hub.readQuorum,
    gossip: hub.gossip,
    propose: store.propose,
    raft: store.handlers,
    replaceMember: store.replaceMember,
    readGroup: store.readStatus,
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
    tls: credentials.tls,
    reportUnauthorized: (address) => timeline.record('stranger.refused', { address }),
    reportRefusal: (path, message) => timeline.record('message.refused', { path, message }),
  });
  await listenOn(server, settings.address);
  hub.start();
  store.start();
  timeline.record('process.started', { role: 'control', address: settings.address });
  try {
    await Promise.race([waitForSignal(), failed]);
  } finally {
    store.stop();
    hub.stop();
    raftPeers.close();
    peers.forEach(({ peer }) => peer.close());
    server.stop();
    await closeDisk();
  }
}
