import type { AddressInfo } from 'node:net';
import { createHub, createMemoryStore } from '@vanillarelay/control';
import { createHlc, createTimeline, type DaemonId } from '@vanillarelay/core';
import {
  createControlRouter,
  createControlServer,
  createSystemClock,
  openControl,
} from '@vanillarelay/daemon';
import { createLink } from '@vanillarelay/link';
import { createSeededRandom } from '@vanillarelay/scenarios';
import { afterEach, expect, it } from 'vitest';

const seed = 41;
const key = 'group-peer-key-0001';
const clock = createSystemClock();
const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((clean) => clean()));

const createCommonOptions = (id: string) => {
  const hlc = createHlc(clock);
  const timeline = createTimeline({ hlc, process: id, vm: id, dataCentre: 'lahore' } as never);
  return { clock, hlc, timeline, random: createSeededRandom(seed) };
};

const openClient = (address: string) => {
  const client = openControl(address, { key });
  cleanups.push(client.close);
  return client;
};

/** Serves a hub on a free port; the caller adds its peers once their ports are known. */
async function startHub(id: string, refusals: string[]) {
  const peers: { id: DaemonId; peer: ReturnType<typeof openClient> }[] = [];
  const store = createMemoryStore();
  const hub = createHub({ ...createCommonOptions(id), id: id as DaemonId, store, peers });
  const router = createControlRouter({ ...hub, propose: store.propose } as never);
  const server = createControlServer({
    ...{ router, peerKeys: [key], operatorKeys: [], reportUnauthorized: () => {} },
    reportRefusal: (path, message) => {
      if (path === 'gossip') refusals.push(message);
    },
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(server.stop, hub.stop);
  return { id, hub, peers, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

const startDaemon = (id: string, role: 'entry' | 'agent', hub: { id: string; address: string }) => {
  const common = { vm: id, dataCentre: 'lahore', address: '127.0.0.1:1', incarnation: 1 };
  let sequence = 0;
  const link = createLink({
    ...createCommonOptions(id),
    controls: [{ id: hub.id as DaemonId, client: openClient(hub.address) }],
    buildReport: () => {
      sequence += 1;
      const load = { id, service: 'reports', status: 'ready', slots: 4, sequence, running: 2 };
      const roleFields =
        role === 'agent' ? { announcement: { ...common, ...load } } : { usage: { busy: 3 } };
      return { ...common, daemon: id, role, ...roleFields } as never;
    },
  });
  link.start();
  cleanups.push(link.stop);
  return link;
};

// Guards against gossip messages that the schema refuses or that a real connection alters.
it('passes members and loads from one hub to an entry attached to another hub', async () => {
  const refusals: string[] = [];
  const hubs = [await startHub('hub-0', refusals), await startHub('hub-1', refusals)] as const;
  hubs[0].peers.push({ id: 'hub-1' as DaemonId, peer: openClient(hubs[1].address) });
  hubs[1].peers.push({ id: 'hub-0' as DaemonId, peer: openClient(hubs[0].address) });
  hubs.forEach(({ hub }) => hub.start());
  startDaemon('agent-1', 'agent', hubs[0]);
  const entry = startDaemon('entry-1', 'entry', hubs[1]);
  for (let tries = 0; tries < 100 && entry.readView().loads.size === 0; tries += 1) {
    await clock.wait(100);
  }
  const daemons = () => hubs[0].hub.listDaemons().map(({ daemon, hub }) => `${daemon} at ${hub}`);
  for (let tries = 0; tries < 100 && daemons().length < 2; tries += 1) await clock.wait(100);
  const { loads, means } = entry.readView();
  expect({ loads: [...loads], means, daemons: daemons(), refusals }).toEqual({
    loads: [['agent-1', 2]],
    means: { reports: 2 },
    daemons: ['agent-1 at hub-0', 'entry-1 at hub-1'],
    refusals: [],
  });
});
