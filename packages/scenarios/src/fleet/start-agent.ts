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
import { openControls } from './open-controls.js';

interface StartAgentOptions {
  id: string;
  service: ServiceId;
  dataCentre: DataCentreId;
  slots: number;
  /** Makes the endpoint beside the agent. */
  createEndpoint: (process: VirtualProcess) => EndpointClient;
}

/** Starts an agent and its endpoint in the in-process fleet. */
export function startAgent(context: FleetContext, options: StartAgentOptions): void {
  const { virtual, network, random, hash } = context;
  const { id, service, dataCentre, slots, createEndpoint } = options;
  const endpointProcess = virtual.createProcess(`endpoint-${id}`);
  context.endpoints.set(id, {
    process: endpointProcess,
    handlers: createEndpoint(endpointProcess),
  });
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
    control: { propose: createProposer({ clock, random, controls }) },
    findLink: () => link,
    openAgent: openPeer,
  });
  link = createLink({
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
  const handlers = wrapAgentHandlers(agent.handlers, { hlc, findLink: () => link });
  context.agents.set(id, { process, handlers });
  link.start();
  agent.start();
}
