import {
  type Clock,
  createHistograms,
  createHlc,
  createIdGenerator,
  createTimeline,
  toId,
  type DaemonId,
  type DataCentreId,
  type VmId,
} from '@vanillarelay/core';
import { createEntry } from '@vanillarelay/entry';
import { createLink, createProposer, wrapAgentClient } from '@vanillarelay/link';
import type { FleetContext } from './fleet-context.js';
import { wrapLink } from './wrap-link.js';
import { wrapPropose } from './wrap-propose.js';
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
  const realLink = createLink({
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
  const link = wrapLink(realLink, context.without);
  entry = createEntry({
    clock,
    hash,
    hlc,
    timeline,
    link,
    createId: createIdGenerator(random),
    ...(place ? { place } : {}),
    random,
    histograms: createHistograms(),
    propose: wrapPropose(createProposer({ clock, random, controls }), context.without),
    openAgent: (address) => wrapAgentClient(openAgent(address), () => link),
  });
  context.links.set(id, realLink);
  context.shutdowns.set(id, async () => {
    entry.stop();
    if (!context.without.has('drain')) await waitForIdle(entry, clock);
    // Data that a process has written still reaches its peer after the process has exited.
    await clock.wait(flushMs);
    process.kill();
  });
  context.entries.set(id, { process, handlers: entry });
  link.start();
}

const idleCheckMs = 50;
const flushMs = 20;

/** Waits until the last request has ended; a stopping entry keeps its connections that long. */
async function waitForIdle(
  entry: Pick<ReturnType<typeof createEntry>, 'countRunning'>,
  clock: Clock,
): Promise<void> {
  while (entry.countRunning() > 0) await clock.wait(idleCheckMs);
}
