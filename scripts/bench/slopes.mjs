// Measures how memory, CPU time and message sizes grow with the number of endpoints, records, chats
// or accounts, each at three sizes or more.
import {
  createHub,
  createMemoryStore,
  createFleetState,
  applyCommand,
} from '@vanillarelay/control';
import { createHash, createHlc, createTimeline, findRendezvousFirst } from '@vanillarelay/core';
import { createSystemClock } from '@vanillarelay/daemon';
import { createPointerTable } from '@vanillarelay/agent';
import buildBenchReport from './build-bench-report.mjs';

const clock = createSystemClock();
const hlc = createHlc(clock);
const identity = { process: 'control-1', vm: 'vm-1', dataCentre: 'lahore' };
const timeline = createTimeline({ hlc, ...identity });
const hash = await createHash();

const readHeap = () => {
  global.gc();
  return process.memoryUsage().heapUsed;
};

const measureTime = (times, run) => {
  const startedAt = performance.now();
  for (let i = 0; i < times; i += 1) run(i);
  return ((performance.now() - startedAt) / times) * 1_000;
};

const measureHub = async (endpoints) => {
  const heapBefore = readHeap();
  const hub = createHub({ id: 'control-1', clock, hlc, timeline, store: createMemoryStore() });
  const { signal } = new AbortController();
  hub.start();
  await clock.wait(1_300);
  for (let index = 0; index < endpoints; index += 1) {
    const report = { ...buildBenchReport('agent', index, 1, 0), stateVersion: 0, cursor: '' };
    await hub.exchange({ ...report, at: hlc.read() }, signal);
  }
  const heap = readHeap() - heapBefore;
  const entryReport = { ...buildBenchReport('entry', 0, 1, 0), stateVersion: 0, cursor: '' };
  const frame = await hub.exchange({ ...entryReport, at: hlc.read() }, signal);
  hub.stop();
  return {
    endpoints,
    hubBytesEach: Math.round(heap / endpoints),
    firstFrameBytes: JSON.stringify(frame).length,
  };
};

const measurePlacement = (endpoints) => {
  const ids = Array.from({ length: endpoints }, (_, index) => `service-0-endpoint-${index}`);
  const tried = new Set();
  const run = (i) => findRendezvousFirst(hash, `account/chat-${i}`, ids, tried);
  measureTime(2_000, run);
  return { endpoints, placementMicroseconds: Math.round(measureTime(5_000, run) * 10) / 10 };
};

const measureRecords = (records) => {
  const state = createFleetState();
  const heapBefore = readHeap();
  const microseconds = measureTime(records, (i) => {
    const key = { account: 'account', key: `notice-${i}` };
    const claim = {
      bodyHash: 'a'.repeat(64),
      attemptId: `attempt-${i}`,
      endpoint: 'e',
      incarnation: 1,
    };
    applyCommand(state, { type: 'claim', ...key, ...claim, nonce: `n${i}` }, i * 2 + 1, 1);
    const answer = Buffer.alloc(1_024).toString('base64');
    const done = { nonce: `n${i}`, status: 200, contentType: 'application/json', answer };
    applyCommand(state, { type: 'complete', ...key, ...done }, i * 2 + 2, 1);
  });
  const bytesEach = Math.round((readHeap() - heapBefore) / records);
  return { records, bytesEach, microsecondsEach: Math.round(microseconds * 10) / 10 };
};

const measurePointers = (chats) => {
  const heapBefore = readHeap();
  const table = createPointerTable();
  for (let i = 0; i < chats; i += 1) {
    const chat = `account-${i % 1_200}/0123456789abcdef${i}`;
    table.receive({ service: 's', chat, holder: `engine-${i % 55}`, incarnation: 1, sequence: i });
  }
  return { chats, kept: table.count(), bytesEach: Math.round((readHeap() - heapBefore) / chats) };
};

const measureConfig = (accounts) => {
  const account = { keyHashes: ['a'.repeat(64)], requestsPerSecond: 10, services: ['service-0'] };
  const config = Object.fromEntries(
    Array.from({ length: accounts }, (_, index) => [`account-${index}`, account]),
  );
  return { accounts, configBytes: JSON.stringify(config).length };
};

const hubRows = [];
for (const size of [100, 400, 1_600]) hubRows.push(await measureHub(size));
console.log('hub: memory per endpoint, bytes of the first frame to a joining daemon');
console.table(hubRows);
console.log('entry: time to choose the home of a chat');
console.table([6, 55, 200, 1_600].map(measurePlacement));
console.log('control: records of non-idempotent requests with 1 KiB answers, state machine alone');
console.table([10_000, 50_000, 200_000].map(measureRecords));
console.log('agent: memory per pointer in the chat directory');
console.table([2_000, 10_000, 50_000].map(measurePointers));
console.log('configuration: bytes of the client accounts');
console.table([10, 100, 1_200].map(measureConfig));
process.exit(0);
