import type { Fingerprint } from '@vanillarelay/core';
import { createCrashRecord } from '@vanillarelay/routing';
import { expect, it } from 'vitest';

const bad = 'bad' as Fingerprint;

// Guards against a request that may crash three endpoints per process instead of three in total.
it('includes crashes that other processes reported', () => {
  const record = createCrashRecord({ monotonic: () => 0 });
  record.recordCrash(bad);
  record.updateOthers({ [bad]: 1 });
  const before = record.isConvicted(bad);
  record.updateOthers({ [bad]: 2 });
  expect([before, record.isConvicted(bad), record.readOwn()]).toEqual([false, true, { bad: 1 }]);
});

// Guards against refusing a request that was running when another one crashed its endpoint.
it('clears a request that was answered and forgets a single crash', () => {
  const time = { now: 0 };
  const record = createCrashRecord({ monotonic: () => time.now });
  record.recordCrash(bad);
  record.recordCrash(bad);
  record.clear(bad);
  record.recordCrash(bad);
  const kept = record.readOwn();
  time.now = 31_000;
  expect([kept, record.readOwn(), record.isEmpty()]).toEqual([{ bad: 1 }, {}, true]);
});

// Guards against a caller that retries after a while and crashes endpoints again.
it('keeps a convicted request on record for minutes', () => {
  const time = { now: 0 };
  const record = createCrashRecord({ monotonic: () => time.now });
  for (let count = 0; count < 3; count += 1) record.recordCrash(bad);
  time.now = 300_000;
  record.readOwn();
  expect(record.isConvicted(bad)).toBe(true);
});
