import { createHash, type DaemonId, type Hash, type SuspectId } from '@vanillarelay/core';
import { createCrashRecord, mergeCrashReports, type CrashReports } from '@vanillarelay/routing';
import { createSeededRandom } from '@vanillarelay/scenarios';
import { beforeAll, expect, it } from 'vitest';

const content = 'content' as SuspectId;
const firstSeed = Number(process.env.CONTENT_FIRST ?? 1);
const seedCount = Number(process.env.CONTENT_SEEDS ?? 10);
const seeds = Array.from({ length: seedCount }, (_, index) => firstSeed + index);
const stepMs = 20;
const runMs = Number(process.env.CONTENT_RUN_MS ?? 300_000);
const maxMsPerSeed = 10_000;
/** The platform's `ContactMs`, and the retries that its rule allows from then on. */
const contactMs = 3_000;
const allowedRetries = 3;
/** Interval of the exchange, which takes effect after up to the same time. */
const maxExchangeMs = 900;

let hash: Hash;
beforeAll(async () => {
  hash = await createHash();
});

/**
 * Plays a caller that sends one content for minutes, at any router and at times several at
 * once; each run crashes its endpoint. Returns the times of the runs and of the crashes.
 */
function playContent(seed: number) {
  const random = createSeededRandom(seed);
  const time = { now: 0 };
  const names = Array.from({ length: 3 + (seed % 4) * 4 }, (_, index) => `r-${index}` as DaemonId);
  const create = (self: DaemonId) =>
    createCrashRecord({
      ...{ hash, self, clock: { monotonic: () => time.now } },
      listRouters: () => names,
      notify: () => {},
    });
  const records = names.map(create);
  const due: { at: number; run: () => void }[] = [];
  const schedule = (ms: number, run: () => void) => due.push({ at: time.now + ms, run });
  const runs: number[] = [];
  const crashes: number[] = [];

  const send = (index: number): void => {
    const record = records[index];
    if (!record) return;
    const blocked = record.listBlocked([content]);
    if (blocked.length > 0 && !record.takeProbe(blocked, content)) return;
    const sentAt = time.now;
    runs.push(sentAt);
    const endpointProcess = `e-${runs.length}`;
    schedule(random() * 400, () => {
      crashes.push(time.now);
      record.recordLostRun(content, { endpointProcess, sentAt, events: Math.floor(random() * 3) });
    });
  };
  const exchange = (): void => {
    const reports = records.map((record) => record.readLocal());
    records.forEach((_, self) => {
      const sentAt = time.now;
      schedule(random() * maxExchangeMs, () => {
        const others = mergeCrashReports(reports.filter((__, index) => index !== self));
        records[self]?.updateRemote(addAge(others, time.now - sentAt));
      });
    });
    schedule(maxExchangeMs * random(), exchange);
  };
  const call = (): void => {
    const copies = random() < 0.2 ? names.length : 1;
    for (let count = 0; count < copies; count += 1) send(Math.floor(random() * names.length));
    schedule(random() < 0.1 ? 60_000 * random() : 3_000 * random(), call);
  };
  const restart = (): void => {
    const index = Math.floor(random() * names.length);
    records[index] = create(names[index] as DaemonId);
    // A router that starts takes no requests before it has the others' state.
    const known = records.filter((_, other) => other !== index).map((record) => record.readLocal());
    records[index]?.updateRemote(mergeCrashReports(known));
    schedule(60_000 * random(), restart);
  };
  [exchange, call, restart].forEach((task) => schedule(0, task));
  while (time.now < runMs) {
    const next = due.sort((a, b) => a.at - b.at).shift();
    if (!next) break;
    time.now = Math.max(time.now, Math.ceil(next.at / stepMs) * stepMs);
    next.run();
  }
  return { runs, crashes };
}

function addAge(reports: CrashReports, ms: number): CrashReports {
  const aged: CrashReports = {};
  Object.entries(reports).forEach(([id, crashes]) => {
    aged[id as SuspectId] = Object.fromEntries(
      Object.entries(crashes).map(([crash, report]) => [
        crash,
        { ...report, ageMs: report.ageMs + ms },
      ]),
    );
  });
  return aged;
}

/** Plays one life for each seed. */
const play = (): void => {
  const late = seeds.map((seed) => {
    const { runs, crashes } = playContent(seed);
    const bindsFrom = (crashes[2] ?? Infinity) + contactMs;
    return runs.filter((at) => at > bindsFrom).length;
  });
  expect(Math.max(...late), late.join(' ')).toBeLessThanOrEqual(allowedRetries);
  expect(Math.max(...late)).toBeGreaterThan(0);
};

// Guards against a content that crashes one endpoint after the other for as long as it comes: probes
// without an end, or of several routers at the same moment.
it(
  'a content that always crashes endpoints is sent a limited number of times in its life',
  play,
  seedCount * maxMsPerSeed,
);
