// Measures bytes, messages and processor time of the exchange over tRPC WebSockets on loopback.
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createHlc, createTimeline } from '@vanillarelay/core';
import { createSystemClock, openControl } from '@vanillarelay/daemon';
import { createLink } from '@vanillarelay/link';

const key = 'bench-peer-key-0001';
const joinMs = 12_000;
const measureMs = 15_000;
const sizes = [
  { name: 'today', daemons: 11, services: 2, endpoints: 9, accounts: 10, busyAccounts: 2 },
  { name: 'middle', daemons: 100, services: 10, endpoints: 300, accounts: 200, busyAccounts: 10 },
  {
    name: 'target',
    daemons: 570,
    services: 29,
    endpoints: 1_600,
    accounts: 1_200,
    busyAccounts: 20,
  },
];
const accountsPerReport = 20;
const clock = createSystemClock();

const startDaemon = (role, index, address, accounts) => {
  const id = `${role}-${index}`;
  const hlc = createHlc(clock);
  const client = openControl(address, { key });
  let sequence = 0;
  const link = createLink({
    clock,
    random: Math.random,
    hlc,
    timeline: createTimeline({ hlc, process: id, vm: id, dataCentre: 'lahore', capacity: 10 }),
    controls: [{ id: 'control-1', client }],
    buildReport: () => {
      sequence += 1;
      const common = { vm: `vm-${id}`, dataCentre: 'lahore', address: '10.0.0.1:7200' };
      const daemon = { ...common, daemon: id, role, incarnation: 1_700_000_000_000 };
      if (role === 'agent') {
        const { vm, dataCentre, address: own, incarnation } = daemon;
        const service = 'service-0';
        const load = { status: 'ready', slots: 16, sequence, running: sequence % 12 };
        const announcement = { id, service, address: own, vm, dataCentre, incarnation, ...load };
        return { ...daemon, services: [service], announcement };
      }
      const usage = Array.from({ length: Math.min(accounts, accountsPerReport) }, (_, i) => [
        `account-${(sequence * 7 + i) % accounts}`,
        2,
      ]);
      return { ...daemon, usage: Object.fromEntries(usage) };
    },
  });
  link.start();
  return { link, client };
};

const read = async (hub) => {
  hub.send('read');
  const [figures] = await once(hub, 'message');
  const { user, system } = process.cpuUsage();
  return { ...figures, clientCpuMs: (user + system) / 1_000, at: performance.now() };
};

const measure = async (role, { name, daemons, ...options }) => {
  const script = fileURLToPath(new URL('./exchange-hub.mjs', import.meta.url));
  const hub = fork(script, [JSON.stringify({ ...options, key })]);
  const [{ port }] = await once(hub, 'message');
  await wait(2_000);
  const address = `127.0.0.1:${port}`;
  const before = await read(hub);
  const fleet = Array.from({ length: daemons }, (_, index) =>
    startDaemon(role, index, address, options.accounts),
  );
  await wait(joinMs);
  const start = await read(hub);
  await wait(measureMs);
  const end = await read(hub);
  const attached = fleet.filter(({ link }) => link.readContact() === 'attached').length;
  fleet.forEach(({ link, client }) => {
    link.stop();
    client.close();
  });
  hub.send('stop');
  await once(hub, 'exit');
  const seconds = (end.at - start.at) / 1_000;
  const exchanges = end.exchanges - start.exchanges;
  const perSecond = (field) => (end[field] - start[field]) / seconds / daemons;
  const round = (value, digits = 0) => Number(value.toFixed(digits));
  return {
    size: name,
    role,
    daemons,
    endpoints: options.endpoints,
    attached,
    'exchanges/s': round(exchanges / seconds / daemons, 2),
    'report B/s': round(perSecond('bytesRead')),
    'frame B/s': round(perSecond('bytesWritten')),
    'total B/s': round(perSecond('bytesRead') + perSecond('bytesWritten')),
    'join bytes': round(
      (start.bytesWritten - before.bytesWritten) / daemons -
        (perSecond('bytesWritten') * joinMs) / 1_000,
    ),
    'hub ms/exchange': round((end.cpuMs - start.cpuMs) / exchanges, 3),
    'daemon ms/exchange': round((end.clientCpuMs - start.clientCpuMs) / exchanges, 3),
    'hub MB': round(end.residentMb),
  };
};

const rows = [];
for (const size of sizes) {
  rows.push(await measure('entry', size));
  rows.push(await measure('agent', size));
}
console.table(rows);
