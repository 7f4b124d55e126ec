// Compares requests per second and latency through one entry and one agent with the bare engine.
// Usage: node scripts/bench/overhead.mjs [--seconds=4] [--log=info] [--callers=1,16,128] [--metrics]
import { spawn } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { openControl } from '@vanillarelay/daemon';
import { Pool } from 'undici';
import createLauncher from '../local-fleet/create-launcher.mjs';

const readFlag = (name, fallback) =>
  process.argv.find((arg) => arg.startsWith(`--${name}=`))?.split('=')[1] ?? fallback;
const seconds = Math.min(30, Number(readFlag('seconds', '4')));
const longRequests = 3;
const prefillMsPerToken = 0.02;
const charactersPerToken = 4;
const peerKey = 'bench-peer-key-000001';
const accountKey = 'bench-account-key-0001';
const addresses = {
  control: '127.0.0.1:7501',
  entry: '127.0.0.1:7502',
  agent: '127.0.0.1:7503',
  engine: '127.0.0.1:7504',
};
const control = [{ id: 'control-1', address: addresses.control }];
const keys = { peerKeys: [peerKey], operatorKeys: ['bench-operator-key-01'] };
const common = { ...keys, dataCentre: 'lahore', logLevel: readFlag('log', 'info') };
const launcher = createLauncher();

const config = {
  dataCentres: { lahore: { region: 'punjab' } },
  services: {
    reports: {
      type: 'model',
      loadMultiple: 100,
      coldLimit: 256,
      firstByteMs: 10_000,
      kinds: {
        chat: {
          methods: ['POST'],
          pathPrefix: '/v1/chat/completions',
          idempotent: true,
          mustArrive: true,
          priority: 5,
          deadlineMs: 30_000,
        },
      },
    },
  },
  accounts: {
    inspectors: {
      keyHashes: [createHash('sha256').update(accountKey).digest('hex')],
      requestsPerSecond: 1_000_000,
      services: ['reports'],
    },
  },
  concurrentLoads: 2,
};

const startFleet = () => {
  const { folder, startDaemon } = launcher;
  startDaemon({
    ...{ role: 'control', id: 'control-1', vm: 'vm-1', address: addresses.control, group: control },
    dataFolder: join(folder, 'control-1'),
    ...common,
  });
  startDaemon({
    ...{ role: 'agent', id: 'reports-0', vm: 'vm-2', address: addresses.agent, control },
    ...{ service: 'reports', endpointAddress: addresses.engine, slots: 256 },
    ...common,
  });
  startDaemon({
    ...{ role: 'entry', id: 'entry-0', vm: 'vm-3', address: addresses.entry, control },
    ...common,
  });
};

const startEngine = () =>
  spawn(
    process.execPath,
    [fileURLToPath(new URL('./fast-engine.mjs', import.meta.url)), addresses.engine],
    { stdio: 'ignore' },
  );

/** Sends requests in a closed loop over `callers` connections for `durationMs`. */
const measure = async (address, callers, durationMs) => {
  const pool = new Pool(`http://${address}`, { connections: callers });
  const times = [];
  const failures = {};
  const endAt = performance.now() + durationMs;
  const runCaller = async (caller) => {
    const body = JSON.stringify({
      model: 'reports',
      chat_id: `chat-${caller}`,
      max_tokens: 1,
      messages: [
        { role: 'user', content: 'How thick is the asphalt base layer here? '.repeat(10) },
      ],
    });
    const headers = {
      authorization: `Bearer ${accountKey}`,
      'content-type': 'application/json',
      'x-chat': `chat-${caller}`,
    };
    while (performance.now() < endAt) {
      const startedAt = performance.now();
      const answer = await pool.request({
        ...{ method: 'POST', path: '/v1/chat/completions', headers, body },
      });
      const text = await answer.body.text();
      times.push(performance.now() - startedAt);
      if (answer.statusCode !== 200) {
        const reason = text.slice(0, 200);
        failures[reason] = (failures[reason] ?? 0) + 1;
        await wait(20);
      }
    }
  };
  const startedAt = performance.now();
  await Promise.all(Array.from({ length: callers }, (_, caller) => runCaller(caller)));
  const elapsedMs = performance.now() - startedAt;
  await pool.close();
  times.sort((a, b) => a - b);
  const readPercentile = (share) => times[Math.floor((times.length - 1) * share)];
  return {
    count: times.length,
    rate: (times.length / elapsedMs) * 1_000,
    p50: readPercentile(0.5),
    p95: readPercentile(0.95),
    failures,
  };
};

/**
 * Keeps a few requests with long prompts running. The agent's load bound follows a mean that is
 * sampled once a second; without these requests a sample of 0 would limit it to one request at a
 * time.
 */
const startLongRequests = (durationMs) => {
  const controller = new AbortController();
  const content = 'x'.repeat((durationMs / prefillMsPerToken) * charactersPerToken);
  const body = JSON.stringify({ model: 'reports', messages: [{ role: 'user', content }] });
  const headers = { authorization: `Bearer ${accountKey}`, 'content-type': 'application/json' };
  const url = `http://${addresses.entry}/v1/chat/completions`;
  for (let i = 0; i < longRequests; i += 1) {
    const init = { method: 'POST', headers, body, signal: controller.signal };
    fetch(url, init).then(
      (answer) => answer.body?.cancel(),
      () => {},
    );
  }
  return () => controller.abort();
};

/** Unit of CPU times in /proc on Linux. */
const ticksPerSecond = 100;

/** Reads the CPU time that a process has used so far, in milliseconds. */
const readCpuMs = (pid) => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .replace(/^.*\) /, '')
    .split(' ');
  return ((Number(fields[11]) + Number(fields[12])) / ticksPerSecond) * 1_000;
};

const waitForReady = async () => {
  for (let i = 0; i < 100; i += 1) {
    const answer = await fetch(`http://${addresses.entry}/health/ready`).catch(() => undefined);
    if (answer?.ok) return;
    await wait(100);
  }
  throw new Error('entry not ready after 100 checks, 100 ms apart');
};

const engine = startEngine();
try {
  startFleet();
  await wait(2_500);
  const client = openControl(addresses.control, { key: peerKey });
  const change = { type: 'applyConfig', changeId: 'first', operator: 'bench', expectedVersion: 0 };
  const applied = await client.propose({ ...change, config }, AbortSignal.timeout(5_000));
  if (!applied.ok) throw new Error(JSON.stringify(applied));
  client.close();
  await waitForReady();
  await wait(1_500);
  // Warm-up: the first thousands of requests mostly run code that V8 has not optimized yet.
  await measure(addresses.engine, 32, 3_000);
  await measure(addresses.entry, 32, 8_000);
  const processes = ['entry-0', 'reports-0'].map((id) => launcher.children.get(id).pid);
  const idleBefore = processes.map(readCpuMs);
  await wait(2_000);
  const idle = processes.map((pid, index) => (readCpuMs(pid) - idleBefore[index]) / 2);
  console.log(JSON.stringify({ idleCpuMsPerSecond: { entry: idle[0], agent: idle[1] } }));
  for (const callers of readFlag('callers', '1,16,128').split(',').map(Number)) {
    const stopLongRequests = startLongRequests(seconds * 2_000 + 5_000);
    await measure(addresses.engine, callers, 1_000);
    await measure(addresses.entry, callers, 2_000);
    const direct = await measure(addresses.engine, callers, seconds * 1_000);
    const before = processes.map(readCpuMs);
    const relayed = await measure(addresses.entry, callers, seconds * 1_000);
    const [entryCpuMs, agentCpuMs] = processes.map((pid, index) =>
      Number(((readCpuMs(pid) - before[index]) / relayed.count).toFixed(3)),
    );
    stopLongRequests();
    console.log(
      JSON.stringify({
        callers,
        directRate: Math.round(direct.rate),
        relayedRate: Math.round(relayed.rate),
        share: Number((relayed.rate / direct.rate).toFixed(2)),
        addedP50Ms: Number((relayed.p50 - direct.p50).toFixed(2)),
        addedP95Ms: Number((relayed.p95 - direct.p95).toFixed(2)),
        directP50Ms: Number(direct.p50.toFixed(2)),
        entryCpuMs,
        agentCpuMs,
        failures: relayed.failures,
      }),
    );
  }
  if (process.argv.includes('--metrics')) {
    const headers = { 'x-relay-key': 'bench-operator-key-01' };
    const answer = await fetch(`http://${addresses.entry}/relay/metrics`, { headers });
    console.log(JSON.stringify(await answer.json(), null, 1));
  }
} finally {
  engine.kill('SIGTERM');
  await launcher.stop(process.argv.includes('--keep'));
}
