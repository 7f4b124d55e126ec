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
import { createLink, createProposer, wrapAgentClient } from '@vanillarelay/link';
import type { FleetContext } from './fleet-context.js';
import { openControls } from './open-controls.js';

/** Starts an entry of the in-process fleet. */
export function startEntry(
  context: FleetContext,
  id: string,
  dataCentre: DataCentreId,
  place?: Parameters<typeof createEntry>[0]['place'],
): void {
  const { virtual, network, random, hash } = context;
  const process = virtual.createProcess(id);
  const { clock } = process;
  const incarnation = clock.now();
  const hlc = createHlc(clock);
  const vm = toId<VmId>(`vm-${id}`);
  const timeline = createTimeline({ hlc, process: toId<DaemonId>(id), vm, dataCentre });
  const controls = openControls(context, process);
  const openAgent = (address: string) => network.open(process, () => context.agents.get(address));
  let entry: ReturnType<typeof createEntry>;
  const link = createLink({
    clock,
    random,
    hlc,
    timeline,
    controls,
    openPeer: openAgent,
    buildReport: () => ({
      daemon: toId<DaemonId>(id),
      role: 'entry',
      vm,
      dataCentre,
      address: id,
      incarnation,
      usage: entry.takeUsage(),
    }),
  });
  entry = createEntry({
    clock,
    hash,
    hlc,
    timeline,
    link,
    createId: createIdSource(random),
    ...(place ? { place } : {}),
    random,
    histograms: createHistograms(),
    propose: createProposer({ clock, random, controls }),
    openAgent: (address) => wrapAgentClient(openAgent(address), () => link),
  });
  context.entries.set(id, { process, handlers: entry });
  link.start();
}
