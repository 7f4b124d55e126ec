// Simulates most daemons of the exchange bench: each exchanges reports like a link, but keeps no
// view of the fleet.
import { setTimeout as wait } from 'node:timers/promises';
import { createHlc } from '@vanillarelay/core';
import { createSystemClock, openControl } from '@vanillarelay/daemon';
import buildBenchReport from './build-bench-report.mjs';

const { key, port, role, first, count, accounts } = JSON.parse(process.argv[2]);
const startIntervalMs = 10;
const timeoutMs = 1_500;
const hlc = createHlc(createSystemClock());
const stopping = new AbortController();
const clients = [];
let failures = 0;

const runDaemon = async (index) => {
  const client = openControl(`127.0.0.1:${port}`, { key });
  clients.push(client);
  let cursor = '';
  let stateVersion = 0;
  for (let sequence = 1; !stopping.signal.aborted; sequence += 1) {
    const partialReport = buildBenchReport(role, index, sequence, accounts);
    const report = { ...partialReport, contact: 'attached', stateVersion, cursor, at: hlc.read() };
    try {
      const signal = AbortSignal.any([AbortSignal.timeout(timeoutMs), stopping.signal]);
      ({ cursor, stateVersion } = await client.exchange(report, signal));
    } catch {
      failures += 1;
      await wait(200);
    }
  }
};

process.on('message', (message) => {
  if (message === 'read') {
    process.send({ failures });
    return;
  }
  stopping.abort();
  clients.forEach((client) => client.close());
  process.disconnect();
});
for (let index = first; index < first + count && !stopping.signal.aborted; index += 1) {
  void runDaemon(index);
  await wait(startIntervalMs);
}
