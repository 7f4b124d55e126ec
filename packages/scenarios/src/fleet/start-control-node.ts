import { createHub, openReplicatedStore } from '@vanillarelay/control';
import {
  createHlc,
  createIdGenerator,
  createTimeline,
  toId,
  type ControlClient,
  type DaemonId,
  type DataCentreId,
  type Disk,
  type VmId,
} from '@vanillarelay/core';
import { wrapProcessDisk } from '../fakes/wrap-process-disk.js';
import type { ControlHandlers } from './control-handlers.js';
import type { FleetContext } from './fleet-context.js';

interface StartControlNodeOptions {
  id: string;
  dataCentre: DataCentreId;
  /** All control nodes of the group. */
  group: readonly string[];
  disk: Disk;
}

/** Starts a control node with its replicated store in the in-process fleet. */
export async function startControlNode(
  context: FleetContext,
  { id, dataCentre, group, disk }: StartControlNodeOptions,
): Promise<void> {
  const { virtual, network, random, replicatedControls } = context;
  const process = virtual.createProcess(id);
  const { clock } = process;
  const hlc = createHlc(clock);
  const vm = toId<VmId>(`vm-${id}`);
  const timeline = createTimeline({ hlc, process: toId<DaemonId>(id), vm, dataCentre });
  const openNode = (peer: string): ControlHandlers =>
    network.open(process, () => replicatedControls.get(peer));
  const store = await openReplicatedStore({
    id,
    address: id,
    clock,
    random,
    timeline,
    openDisk: async () => wrapProcessDisk({ process, disk }),
    createDiskId: createIdGenerator(random),
    initialMembers: group.map((peer) => ({ id: peer, address: peer })),
    openPeer: openNode,
    reportFailure: () => process.kill(),
  });
  const peers = group
    .filter((peer) => peer !== id)
    .map((peer) => ({ id: toId<DaemonId>(peer), peer: openNode(peer) }));
  const hub = createHub({
    id: toId<DaemonId>(id),
    ...{ clock, random, hlc, timeline, store, peers },
  });
  const client: ControlClient = {
    exchange: hub.exchange,
    readQuorum: async (stateVersion) => hub.readQuorum(stateVersion),
    propose: (command) => store.propose(command),
  };
  const handlers: ControlHandlers = {
    ...store.handlers,
    ...client,
    gossip: async (message) => hub.gossip(message),
    readState: async () => store.readState().daemon,
    readRollout: async () => hub.readRollout(),
  };
  replicatedControls.set(id, { process, handlers });
  context.controls.set(id, { process, handlers: client });
  hub.start();
  store.start();
}
