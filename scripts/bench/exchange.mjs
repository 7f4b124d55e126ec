// Measures the periodic exchange of reports and frames between daemons and their hub: bytes,
// messages and CPU time, over tRPC WebSockets on the loopback interface. The argument names a fleet
// size; all sizes are measured if it is absent.
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createHlc, createTimeline } from '@vanillarelay/core';
import { createSystemClock, openControl } from '@vanillarelay/daemon';
import { createLink } from '@vanillarelay/link';
import buildBenchReport from './build-bench-report.mjs';

const key = 'bench-peer-key-0001';
/** Time for the hub to start, in milliseconds. */
const hubStartMs = 2_000;
/** Time for the daemons to connect, in milliseconds; those of the target size start within 6 s. */
const joinMs = 30_000;
const measureMs = 15_000;
/** Sizes of the simulated fleet. */
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
/** Number of daemons with a complete link, in this process; a second one simulates the others. */
const linkDaemons = 8;
const clock = createSystemClock();

const startLink = (role, index, address, accounts) => {
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
      return buildBenchReport(role, index, sequence, accounts);
    },
  });
  let exchanges = 0;
  void link.views.observe(() => {
    exchanges += 1;
  });
  link.start();
  return { link, client, countExchanges: () => exchanges };
};

const startProcess = (name, options) =>
  fork(fileURLToPath(new URL(name, import.meta.url)), [JSON.stringify(options)]);

const readFigures = async (hub) => {
  hub.send('read');
  const [figures] = await once(hub, 'message');
  const { user, system } = process.cpuUsage();
  return { ...figures, clientCpuMs: (user + system) / 1_000, at: performance.now() };
};

const measure = async (role, { name, daemons, ...options }) => {
  const hub = startProcess('./exchange-hub.mjs', { ...options, key });
  const [{ port }] = await once(hub, 'message');
  await wait(hubStartMs);
  const linkCount = Math.min(daemons, linkDaemons);
  const loadOptions = { first: linkCount, count: daemons - linkCount, accounts: options.accounts };
  const load = startProcess('./exchange-load.mjs', { key, port, role, ...loadOptions });
  const fleet = Array.from({ length: linkCount }, (_, index) =>
    startLink(role, index, `127.0.0.1:${port}`, options.accounts),
  );
  const countLinkExchanges = () =>
    fleet.reduce((sum, { countExchanges }) => sum + countExchanges(), 0);
  await wait(joinMs);
  const countFailures = async () => {
    load.send('read');
    const [{ failures }] = await once(load, 'message');
    return failures;
  };
  const joinFailures = await countFailures();
  // `whole` counts the exchanges of the complete links.
  const start = { ...(await readFigures(hub)), whole: countLinkExchanges() };
  await wait(measureMs);
  const end = { ...(await readFigures(hub)), whole: countLinkExchanges() };
  const failures = (await countFailures()) - joinFailures;
  const attached = fleet.filter(({ link }) => link.readContact() === 'attached').length;
  fleet.forEach(({ link, client }) => {
    link.stop();
    client.close();
  });
  load.send('stop');
  await once(load, 'exit');
  hub.send('stop');
  await once(hub, 'exit');
  const seconds = (end.at - start.at) / 1_000;
  const exchanges = end.exchanges - start.exchanges;
  const computeRatePerDaemon = (field) => (end[field] - start[field]) / seconds / daemons;
  const round = (value, digits = 0) => Number(value.toFixed(digits));
  const joinBytes =
    start.bytesWritten / daemons - (computeRatePerDaemon('bytesWritten') * joinMs) / 1_000;
  return {
    size: name,
    role,
    daemons,
    endpoints: options.endpoints,
    attached: `${attached}/${linkCount}`,
    'failed joins': joinFailures,
    failures,
    'messages/s': round((2 * exchanges) / seconds / daemons, 2),
    'report B/s': round(computeRatePerDaemon('bytesRead')),
    'frame B/s': round(computeRatePerDaemon('bytesWritten')),
    'total B/s': round(computeRatePerDaemon('bytesRead') + computeRatePerDaemon('bytesWritten')),
    'join KB': round(joinBytes / 1_000),
    'hub ms/exchange': round((end.cpuMs - start.cpuMs) / exchanges, 3),
    'daemon ms/exchange': round(
      (end.clientCpuMs - start.clientCpuMs) / (end.whole - start.whole),
      3,
    ),
    'hub MB': round(end.residentMb),
  };
};

const rows = [];
const sizeName = process.argv[2];
for (const size of sizes.filter(({ name }) => !sizeName || name === sizeName)) {
  rows.push(await measure('entry', size));
  rows.push(await measure('agent', size));
}
console.table(rows);
