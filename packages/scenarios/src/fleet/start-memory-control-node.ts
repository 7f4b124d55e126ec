import { createHub, createMemoryStore } from '@vanillarelay/control';
import {
  createHlc,
  createTimeline,
  toId,
  type ControlClient,
  type DaemonId,
  type DataCentreId,
  type VmId,
} from '@vanillarelay/core';
import type { FleetContext } from './fleet-context.js';

/** Starts a control node with an in-memory store, without replication, in the in-process fleet. */
export function startMemoryControlNode(
  context: FleetContext,
  id: string,
  dataCentre: DataCentreId,
): void {
  const process = context.virtual.createProcess(id);
  const { clock } = process;
  const hlc = createHlc(clock);
  const timeline = createTimeline({
    hlc,
    process: toId<DaemonId>(id),
    vm: toId<VmId>(id),
    dataCentre,
  });
  const store = createMemoryStore();
  const hub = createHub({ id: toId<DaemonId>(id), clock, hlc, timeline, store });
  const handlers: ControlClient = {
    exchange: hub.exchange,
    readQuorum: async (stateVersion) => hub.readQuorum(stateVersion),
    propose: (command) => store.propose(command),
  };
  hub.start();
  context.controls.set(id, { process, handlers });
}
