// Measures the cost of a record of a non-idempotent request: bytes, syncs and delay in the log of
// three nodes on this machine's disk, and memory in the state machine.
// Run by hand after a build: node --expose-gc scripts/bench/measure-log.mjs [folder]
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import {
  applyCommand,
  createFleetState,
  encodeState,
  openReplicatedStore,
} from '@vanillarelay/control';
import { createTimeline, createHlc } from '@vanillarelay/core';
import { createSystemClock, openFileDisk } from '@vanillarelay/daemon';
import { build as buildHistogram } from 'hdr-histogram-js';

const ids = ['control-1', 'control-2', 'control-3'];
const answerBytes = 1024;
const answer = Buffer.alloc(answerBytes, 'a').toString('base64');
const folder = mkdtempSync(join(process.argv[2] ?? tmpdir(), 'vanillarelay-log-'));
const clock = createSystemClock();

const buildClaim = (number) => ({
  type: 'claim',
  account: `account-${number % 10}`,
  key: `8f14e45f-ceea-467f-a0e6-${String(number).padStart(12, '0')}`,
  bodyHash: String(number).padStart(64, '0'),
  attemptId: `attempt-${String(number).padStart(16, '0')}`,
  endpoint: `notices-${number % 3}`,
  incarnation: 1,
  nonce: `nonce-${String(number).padStart(16, '0')}`,
});

const buildComplete = ({ account, key, nonce }, body) => ({
  type: 'complete',
  ...{ account, key, nonce, status: 200, contentType: 'application/json' },
  ...(body === undefined ? {} : { answer: body }),
});

/** Wraps a disk to count the bytes written and the syncs. */
const wrapDisk = (disk, counts) => ({
  ...disk,
  append: (name, bytes) => {
    counts.bytes += bytes.length;
    return disk.append(name, bytes);
  },
  write: (name, bytes) => {
    counts.bytes += bytes.length;
    return disk.write(name, bytes);
  },
  sync: (name) => {
    counts.syncs += 1;
    return disk.sync(name);
  },
});

const openGroup = async () => {
  const stores = new Map();
  const counts = new Map(ids.map((id) => [id, { bytes: 0, syncs: 0 }]));
  for (const id of ids) {
    const store = await openReplicatedStore({
      ...{ id, address: id, clock, random: Math.random, reportFailure: console.error },
      timeline: createTimeline({ hlc: createHlc(clock), process: id, vm: id, dataCentre: 'x' }),
      openDisk: async () => wrapDisk(await openFileDisk(join(folder, id)), counts.get(id)),
      createDiskId: () => `disk of ${id}`,
      initialMembers: ids.map((one) => ({ id: one, address: one })),
      openPeer: (address) => stores.get(address).handlers,
    });
    stores.set(id, store);
  }
  stores.forEach((store) => store.start());
  const findLeader = () => ids.find((id) => stores.get(id).readStatus().role === 'leader');
  while (!findLeader()) await wait(50);
  await wait(500);
  const leader = findLeader();
  return { store: stores.get(leader), counts: counts.get(leader), stores };
};

let lastClaimNumber = 0;

/** Runs claims and completions, `concurrency` in flight, for `seconds` or up to `limit`. */
const measureConcurrency = async ({ store, counts }, concurrency, seconds, limit) => {
  const claimUs = buildHistogram();
  const before = { ...counts };
  const endsAt = performance.now() + seconds * 1_000;
  let done = 0;
  const run = async () => {
    while (performance.now() < endsAt && done < limit) {
      lastClaimNumber += 1;
      done += 1;
      const claim = buildClaim(lastClaimNumber);
      const startedAt = performance.now();
      await store.propose(claim);
      claimUs.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * 1_000)));
      await store.propose(buildComplete(claim, answer));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, run));
  const formatPercentileMs = (percentile) =>
    (claimUs.getValueAtPercentile(percentile) / 1_000).toFixed(2);
  console.log(
    `in flight ${concurrency}: ${done} records, ${Math.round((counts.bytes - before.bytes) / done)} B and`,
    `${((counts.syncs - before.syncs) / done).toFixed(2)} syncs per record at the leader, claim`,
    `${formatPercentileMs(50)} ms median, ${formatPercentileMs(99)} ms at 99 %`,
  );
};

const measureMemory = (name, body, count) => {
  const state = createFleetState();
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  for (let number = 0; number < count; number += 1) {
    // As on a node, each command is decoded from the text of its log entry.
    const claim = buildClaim(number);
    [claim, buildComplete(claim, body && `${body.slice(12)}${String(number).padStart(12, '0')}`)]
      .map((command) => JSON.parse(JSON.stringify(command)))
      .forEach((command) => applyCommand(state, command, number, 1_000));
  }
  global.gc?.();
  const heap = process.memoryUsage().heapUsed - before;
  const startedAt = performance.now();
  const bytes = [...encodeState(state)].reduce((sum, part) => sum + part.length, 0);
  const encodeMs = performance.now() - startedAt;
  console.log(
    `${name}: ${Math.round(heap / count)} B of heap per record over ${count} records, snapshot`,
    `${Math.round(bytes / count)} B per record, encoded in ${Math.round(encodeMs)} ms`,
  );
  // All records expire at this time; a tombstone of each remains.
  applyCommand(state, { type: 'releasePermit', endpoint: 'e' }, count, 1_000 + 86_400_000);
  global.gc?.();
  const remaining = process.memoryUsage().heapUsed - before;
  console.log(`${name}: ${Math.round(remaining / count)} B of heap per tombstone`);
};

try {
  const group = await openGroup();
  for (const concurrency of [1, 16, 128]) await measureConcurrency(group, concurrency, 5, 20_000);
  group.stores.forEach((store) => store.stop());
  measureMemory('without answer', undefined, 50_000);
  measureMemory(`answer of ${answerBytes} B`, answer, 50_000);
} finally {
  rmSync(folder, { recursive: true, force: true });
}
