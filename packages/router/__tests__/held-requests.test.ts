import { createVirtualClock } from '@vanillarelay/scenarios';
import { describe, expect, it } from 'vitest';
import { computeStateRetry } from '../src/front/compute-state-retry.js';
import { createHeldRequests } from '../src/front/create-held-requests.js';

/** Creates held requests on a virtual clock, with a log of how their holds ended. */
function createHoldFixture() {
  const virtual = createVirtualClock();
  const stop = new AbortController();
  const held = createHeldRequests({ clock: virtual.clock, stopSignal: stop.signal });
  const ends: string[] = [];
  return {
    ...{ virtual, stop, held, ends },
    hold: (name: string, { deadlineMs, bytes = 100 }: { deadlineMs?: number; bytes?: number }) => {
      const caller = new AbortController();
      const startedAt = virtual.clock.monotonic();
      void held
        .hold({ startedAt, deadlineMs, bytes, signal: caller.signal })
        .then((end) => ends.push(`${name} ${end} ${virtual.clock.monotonic()}`));
      return caller;
    },
  };
}

describe('requests that come before a configuration is in force', () => {
  // Guards against a hold that leaves a caller no time for another try.
  it('are held for a share of their time and never longer than a second', async () => {
    const { hold, ends, virtual } = createHoldFixture();
    hold('short', { deadlineMs: 500 });
    hold('long', { deadlineMs: 60_000 });
    hold('unlimited', {});
    hold('none', { deadlineMs: 0 });
    await virtual.run(2_000);
    expect(ends).toEqual([
      'none timeUp 0',
      'short timeUp 150',
      'long timeUp 1000',
      'unlimited timeUp 1000',
    ]);
  });

  // Guards against a caller with little time that is served after those with more.
  it('go on in the order of the time left', async () => {
    const { hold, held, ends, virtual } = createHoldFixture();
    hold('unlimited', {});
    hold('long', { deadlineMs: 8_000 });
    await virtual.run(100);
    hold('short', { deadlineMs: 2_000 });
    hold('later', { deadlineMs: 8_000 });
    held.release();
    await virtual.run(0);
    const released = ['short', 'long', 'later', 'unlimited'];
    expect(ends).toEqual(released.map((name) => `${name} released 100`));
  });

  // Guards against requests that fill the memory of a process that is not ready.
  it('are bounded in number and in bytes, and make room when they end', async () => {
    const { hold, held, ends, virtual } = createHoldFixture();
    for (let i = 0; i < 256; i += 1) hold('held', {});
    hold('excess', {});
    await virtual.run(0);
    expect(ends).toEqual(['excess full 0']);
    held.release();
    await virtual.run(0);
    ends.length = 0;
    const large = hold('large', { bytes: 8 * 1024 * 1024 });
    hold('excess', { bytes: 1 });
    large.abort();
    hold('next', { bytes: 1 });
    await virtual.run(0);
    expect(ends).toEqual(['excess full 0', 'large callerLeft 0']);
  });

  // Guards against a process that holds requests while it stops.
  it('end when the process stops and are not held from then on', async () => {
    const { hold, stop, ends, virtual } = createHoldFixture();
    hold('early', {});
    stop.abort();
    hold('late', {});
    await virtual.run(0);
    expect(ends).toEqual(['early stopping 0', 'late stopping 0']);
  });
});

// Guards against a retry time that is longer than the rest of a usual start, or grows without bound.
it('names the time after which the state is expected', () => {
  const times = [0, 200, 400, 480, 1_000, 60_000];
  expect(times.map(computeStateRetry)).toEqual([500, 300, 100, 120, 250, 500]);
});
