import { createAgent } from '@vanillarelay/agent';
import type { AgentSettings } from '@vanillarelay/config';
import {
  toId,
  type DaemonId,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
  type VmId,
} from '@vanillarelay/core';
import { createLink, createProposer, wrapAgentHandlers, type Link } from '@vanillarelay/link';
import { openControl } from '../control/open-control.js';
import { listenOn } from '../http/listen-on.js';
import { createProcessContext } from '../platform/create-process-context.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { closeServer } from '../http/close-server.js';
import { loadPeerCredentials } from '../trust/load-peer-credentials.js';
import { createAgentOpener } from './create-agent-opener.js';
import { createAgentServer } from './create-agent-server.js';
import { openEndpoint } from './open-endpoint.js';

/** Runs an agent process until SIGTERM or SIGINT. */
export async function runAgent(settings: AgentSettings): Promise<void> {
  const context = await createProcessContext(settings);
  const { clock, timeline } = context;
  const credentials = await loadPeerCredentials(settings);
  const controls = settings.control.map(({ id, address }) => ({
    id: toId<DaemonId>(id),
    client: openControl(address, credentials),
  }));
  const incarnation = Math.floor(clock.now());
  const identity = {
    vm: toId<VmId>(settings.vm),
    dataCentre: toId<DataCentreId>(settings.dataCentre),
  };
  const service = toId<ServiceId>(settings.service);
  const openAgentClient = createAgentOpener(credentials);
  let link: Link;
  const agent = createAgent({
    ...context,
    ...identity,
    id: toId<EndpointId>(settings.id),
    service,
    address: settings.address,
    slots: settings.slots,
    incarnation,
    endpoint: openEndpoint(settings.endpointAddress),
    control: { propose: createProposer({ ...context, controls }) },
    findLink: () => link,
    openAgent: openAgentClient,
  });
  link = createLink({
    ...context,
    controls,
    openPeer: openAgentClient,
    buildReport: () => ({
      ...identity,
      daemon: toId<DaemonId>(settings.id),
      role: 'agent',
      address: settings.address,
      incarnation,
      services: [service],
      announcement: agent.buildAnnouncement(),
    }),
  });
  const server = createAgentServer({
    handlers: wrapAgentHandlers(agent.handlers, { ...context, findLink: () => link }),
    peerKeys: settings.peerKeys,
    operatorKeys: settings.operatorKeys,
    tls: credentials.tls,
    listTimeline: () => timeline.list(),
    reportUnauthorized: (path) => timeline.record('stranger.refused', { path }),
  });
  await listenOn(server, settings.address);
  link.start();
  agent.start();
  timeline.record('process.started', { role: 'agent', address: settings.address });
  await waitForSignal();
  await agent.drain();
  agent.stop();
  link.stop();
  await closeServer(server);
  controls.forEach(({ client }) => client.close());
}
