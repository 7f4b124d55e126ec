// The hub of the exchange bench, in its own process so that its CPU time is measured separately.
import { createHub, createMemoryStore } from '@vanillarelay/control';
import { createHlc, createTimeline } from '@vanillarelay/core';
import { createControlRouter, createControlServer, createSystemClock } from '@vanillarelay/daemon';

const { key, services, endpoints, accounts, busyAccounts } = JSON.parse(process.argv[2]);
const gossipIntervalMs = 500;
const reportsPerSecond = 1;
const clock = createSystemClock();
const hlc = createHlc(clock);
const timeline = createTimeline({ hlc, process: 'control-1', vm: 'vm-1', dataCentre: 'lahore' });
const store = createMemoryStore();
// A busy account exceeds its limit with any use.
const buildAccount = (index) => ({
  keyHashes: ['0'.repeat(64)],
  requestsPerSecond: index < busyAccounts ? 0.001 : 1e9,
  services: ['service-0'],
});
await store.propose({
  type: 'applyConfig',
  changeId: 'bench',
  operator: 'bench',
  expectedVersion: 0,
  config: {
    dataCentres: { lahore: { region: 'punjab' } },
    services: {},
    accounts: Object.fromEntries(
      Array.from({ length: accounts }, (_, index) => [`account-${index}`, buildAccount(index)]),
    ),
    concurrentLoads: 1,
  },
});
const hub = createHub({ id: 'control-1', clock, hlc, timeline, store, random: Math.random });

// Simulates another hub, which gossips the announcement of each endpoint once a second.
let sequence = 0;
const buildAnnouncement = (index) => ({
  id: `service-${index % services}-endpoint-${index}`,
  service: `service-${index % services}`,
  address: `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:7300`,
  vm: `vm-endpoint-${index}`,
  dataCentre: ['lahore', 'faisalabad', 'multan', 'karachi'][index % 4],
  incarnation: 1_700_000_000_000,
  status: 'ready',
  slots: 16,
  sequence,
  running: Math.floor(Math.random() * 12),
});
const gossip = () => {
  sequence += 1;
  const roundsPerReport = Math.round(1_000 / gossipIntervalMs / reportsPerSecond);
  hub.gossip({
    from: 'control-2',
    epoch: 'bench',
    hears: [],
    announcements: Array.from({ length: endpoints }, (_, index) => index)
      .filter((index) => index % roundsPerReport === sequence % roundsPerReport)
      .map((index) => ({ announcement: buildAnnouncement(index), origin: 'control-2', ageMs: 0 })),
    loads: [],
    daemons: [],
    usage: [{ hub: 'control-2', rates: { 'account-0': 10 }, ageMs: 0 }],
    at: hlc.read(),
  });
};
const timer = setInterval(gossip, gossipIntervalMs);

let exchanges = 0;
// Bytes of the connections that have closed.
let bytesRead = 0;
let bytesWritten = 0;
const sockets = new Set();
const server = createControlServer({
  router: createControlRouter({
    ...hub,
    exchange: (report, signal) => {
      exchanges += 1;
      return hub.exchange(report, signal);
    },
    propose: store.propose,
  }),
  peerKeys: [key],
  operatorKeys: [],
  reportUnauthorized: () => {},
  reportRefusal: (path, message) => console.error('refused', path, message),
});
server.on('connection', (socket) => {
  sockets.add(socket);
  socket.once('close', () => {
    sockets.delete(socket);
    bytesRead += socket.bytesRead;
    bytesWritten += socket.bytesWritten;
  });
});
hub.start();
server.listen(0, '127.0.0.1', () => process.send({ port: server.address().port }));

process.on('message', (message) => {
  if (message === 'stop') {
    clearInterval(timer);
    hub.stop();
    server.stop();
    process.disconnect();
    return;
  }
  const { user, system } = process.cpuUsage();
  process.send({
    exchanges,
    cpuMs: (user + system) / 1_000,
    residentMb: process.memoryUsage().rss / 2 ** 20,
    bytesRead: [...sockets].reduce((sum, socket) => sum + socket.bytesRead, bytesRead),
    bytesWritten: [...sockets].reduce((sum, socket) => sum + socket.bytesWritten, bytesWritten),
  });
});
