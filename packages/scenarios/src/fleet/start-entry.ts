import {
  createHistograms,
  createHlc,
  createIdSource,
  createTimeline,
  toId,
  type DaemonId,
  type DataCentreId,
  type VmId,
} from '@vanillarelay/core';
import { createEntry } from '@vanillarelay/entry';
import { createLink } from '@vanillarelay/link';
import type { FleetContext } from './fleet-context.js';
import { openControls } from './open-controls.js';

/** Starts an entry of the in-process fleet. */
export function startEntry(context: FleetContext, id: string, dataCentre: DataCentreId): void {
  const { virtual, network, random, hash } = context;
  const process = virtual.createProcess(id);
  const { clock } = process;
  const controls = openControls(context, process);
  const hlc = createHlc(clock);
  const vm = toId<VmId>(`vm-${id}`);
  const timeline = createTimeline({ hlc, process: toId<DaemonId>(id), vm, dataCentre });
  const link = createLink({
    clock,
    random,
    hlc,
    timeline,
    controls,
    buildReport: () => ({
      daemon: toId<DaemonId>(id),
      role: 'entry',
      vm,
      dataCentre,
      address: id,
      incarnation: clock.now(),
      usage: entry.takeUsage(),
    }),
  });
  const entry = createEntry({
    clock,
    random,
    hash,
    hlc,
    timeline,
    histograms: createHistograms(),
    link,
    propose: (command, signal) => controls[0]!.client.propose(command, signal),
    createId: createIdSource(random),
    openAgent: (address) => network.open(process, () => context.agents.get(address)),
  });
  context.entries.set(id, { process, handlers: entry });
  link.start();
}
