import { createAgent } from '@vanillarelay/agent';
import {
  createHlc,
  createIdSource,
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

interface StartAgentOptions {
  id: string;
  service: ServiceId;
  dataCentre: DataCentreId;
  slots: number;
  /** Makes the endpoint beside the agent; absent when it still runs from before. */
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
    createId: createIdSource(random),
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
  context.stops.set(id, async () => {
    if (!context.without.has('drain')) await agent.drain();
    process.kill();
  });
  const handlers = wrapAgentHandlers(agent.handlers, { hlc, findLink: () => link });
  context.agents.set(id, { process, handlers });
  link.start();
  agent.start();
}
