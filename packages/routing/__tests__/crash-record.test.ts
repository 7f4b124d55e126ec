import type { Fingerprint } from '@vanillarelay/core';
import { createCrashRecord } from '@vanillarelay/routing';
import { expect, it } from 'vitest';

const bad = 'bad' as Fingerprint;

// Guards against a request that may crash three endpoints per process instead of three in total.
it('includes crashes that other processes reported', () => {
  const record = createCrashRecord({ monotonic: () => 0 });
  record.recordCrash(bad);
  record.updateRemote({ [bad]: 1 });
  const before = record.isKnownToCrash(bad);
  record.updateRemote({ [bad]: 2 });
  expect([before, record.isKnownToCrash(bad), record.readLocal()]).toEqual([
    false,
    true,
    { bad: 1 },
  ]);
});

// Guards against refusing a request that was running when another one crashed its endpoint.
it('clears a request that was answered and expires a single crash', () => {
  const time = { now: 0 };
  const record = createCrashRecord({ monotonic: () => time.now });
  record.recordCrash(bad);
  record.recordCrash(bad);
  record.clear(bad);
  record.recordCrash(bad);
  const kept = record.readLocal();
  time.now = 31_000;
  expect([kept, record.readLocal(), record.isEmpty()]).toEqual([{ bad: 1 }, {}, true]);
});

// Guards against a caller that retries after a while and crashes endpoints again.
it('keeps refusing a request for minutes after its third crash', () => {
  const time = { now: 0 };
  const record = createCrashRecord({ monotonic: () => time.now });
  for (let count = 0; count < 3; count += 1) record.recordCrash(bad);
  time.now = 300_000;
  record.readLocal();
  expect(record.isKnownToCrash(bad)).toBe(true);
});
