import { createAgent } from '@vanillarelay/agent';
import {
  createHlc,
  createIdGenerator,
  createTimeline,
  toId,
  type DaemonId,
  type DataCentreId,
  type EndpointClient,
  type EndpointId,
  type ServiceId,
  type VmId,
} from '@vanillarelay/core';
import { createLink, createProposer, wrapAgentHandlers, type Link } from '@vanillarelay/link';
import type { VirtualProcess } from '../fakes/virtual-process.js';
import type { FleetContext } from './fleet-context.js';
import { startEndpoint } from './start-endpoint.js';
import { wrapLink } from './wrap-link.js';
import { wrapPropose } from './wrap-propose.js';
import { openControls } from './open-controls.js';

const flushMs = 20;

interface StartAgentOptions {
  id: string;
  service: ServiceId;
  dataCentre: DataCentreId;
  slots: number;
  /** Creates the endpoint of the agent; absent when the endpoint is still running. */
  createEndpoint?: (process: VirtualProcess) => EndpointClient;
}

/** Starts an agent and its endpoint in the in-process fleet. */
export function startAgent(context: FleetContext, options: StartAgentOptions): void {
  const { virtual, network, random, hash } = context;
  const { id, service, dataCentre, slots, createEndpoint } = options;
  if (createEndpoint) startEndpoint(context, id, createEndpoint);
  const process = virtual.createProcess(id);
  const { clock } = process;
  const hlc = createHlc(clock);
  const vm = toId<VmId>(`vm-${id}`);
  const timeline = createTimeline({ hlc, process: toId<DaemonId>(id), vm, dataCentre });
  const controls = openControls(context, process);
  const incarnation = clock.now() + clock.monotonic();
  const openPeer = (peer: string) => network.open(process, () => context.agents.get(peer));
  let link: Link;
  const agent = createAgent({
    id: toId<EndpointId>(id),
    vm,
    dataCentre,
    service,
    address: id,
    slots,
    incarnation,
    clock,
    random,
    hlc,
    timeline,
    endpoint: network.open(process, () => context.endpoints.get(id)),
    hash,
    createId: createIdGenerator(random),
    control: { propose: wrapPropose(createProposer({ clock, random, controls }), context.without) },
    findLink: () => link,
    openAgent: openPeer,
  });
  const realLink = createLink({
    clock,
    random,
    hlc,
    timeline,
    controls,
    openPeer,
    buildReport: () => ({
      daemon: toId<DaemonId>(id),
      role: 'agent',
      vm,
      dataCentre,
      address: id,
      incarnation,
      services: [service],
      announcement: agent.buildAnnouncement(),
    }),
  });
  link = wrapLink(realLink, context.without);
  context.links.set(id, realLink);
  context.shutdowns.set(id, async () => {
    if (!context.without.has('drain')) await agent.drain();
    // Data that a process has written still reaches its peer after the process has exited.
    await clock.wait(flushMs);
    process.kill();
  });
  const handlers = wrapAgentHandlers(agent.handlers, { hlc, findLink: () => link });
  context.agents.set(id, { process, handlers });
  link.start();
  agent.start();
}
