import { createSeededRandom, createVirtualClock } from '@vanillarelay/scenarios';
import { describe, expect, it } from 'vitest';
import { computeLatenessLimits } from '../src/loop/compute-lateness-limits.js';
import { createLateness } from '../src/loop/create-lateness.js';

const limits = computeLatenessLimits([{ objectiveMs: 600 }, { objectiveMs: 200 }]);
const soundFleet = { late: 0, routers: 40 };
const updateMs = 250;
const loopCheckMs = 500;
const random = createSeededRandom(7);

/** Creates a decision that is updated on a virtual clock, with requests at a given rate. */
function createLatenessFixture(fleet: { late: number; routers: number } = soundFleet) {
  const virtual = createVirtualClock();
  const { clock } = virtual;
  const changes: string[] = [];
  const known = { ...fleet };
  const lateness = createLateness({
    clock,
    notify: (change) => changes.push(`${change} ${clock.monotonic()}`),
  });
  let outMs = 0;
  let announcedMs = 0;
  return {
    ...{ lateness, changes, known },
    readOutMs: () => outMs,
    readAnnouncedMs: () => announcedMs,
    /** Runs for a time in which requests and the event loop are delayed as given. */
    run: async (
      ms: number,
      readDelay: (at: number) => number,
      { perS = 20, hasContact = true } = {},
    ) => {
      const until = clock.monotonic() + ms;
      const stepMs = 10;
      while (clock.monotonic() < until) {
        await virtual.run(stepMs);
        const at = clock.monotonic();
        // A router that is out gets no requests once its connections are closed.
        const rate = lateness.isOut() ? 0 : perS;
        if (random() < (rate * stepMs) / 1_000) lateness.record(readDelay(at));
        if (at % loopCheckMs === 0) lateness.record(readDelay(at) / 4);
        if (at % updateMs !== 0) continue;
        lateness.update({ limits, fleet: hasContact ? known : undefined });
        if (lateness.isOut()) outMs += updateMs;
        if (lateness.isAnnounced()) announcedMs += updateMs;
      }
    },
  };
}

const inTime = () => 15;

describe('the decision whether a router is late', () => {
  // Guards against a slowed router that callers keep waiting at while others have processor time.
  it('takes a router out whose requests wait for long, and brings it back', async () => {
    const { run, changes, lateness } = createLatenessFixture();
    await run(5_000, inTime);
    await run(4_000, () => 600 + random() * 900);
    expect(changes).toHaveLength(1);
    expect(Number(changes[0]?.split(' ')[1])).toBeLessThanOrEqual(7_000);
    expect(lateness.isOut()).toBe(true);
    await run(4_000, inTime);
    expect(changes.map((change) => change.split(' ')[0])).toEqual(['late', 'inTime']);
  });

  // Guards against a router that a garbage collection, a stall or a pause of the process takes out.
  it('is not moved by a single late turn, however long', async () => {
    const { run, changes } = createLatenessFixture();
    await run(2_000, inTime);
    for (const stallMs of [200, 400, 1_000, 5_000]) {
      // All that came in meanwhile is handled within the next turns.
      await run(200, () => stallMs * random());
      await run(3_000, inTime);
    }
    expect(changes).toEqual([]);
  });

  // Guards against a router that is never ready because code is still being compiled.
  it('waits until a second after the start', async () => {
    const { run, changes } = createLatenessFixture();
    await run(900, () => 3_000);
    await run(10_000, inTime);
    expect(changes).toEqual([]);
  });

  // Guards against a burst, or a slow fleet, that takes all routers out.
  it('leaves a router in while more than a fifth of the routers are late', async () => {
    const { run, changes, known, lateness, readAnnouncedMs } = createLatenessFixture();
    known.late = 8;
    await run(2_000, inTime);
    await run(10_000, () => 2_000);
    expect(changes).toEqual([]);
    expect(readAnnouncedMs()).toBeGreaterThan(9_000);
    known.late = 7;
    await run(2_000, () => 2_000);
    expect(lateness.isOut()).toBe(true);
    known.late = 8;
    await run(250, () => 2_000);
    expect(lateness.isOut()).toBe(false);
  });

  // Guards against small fleets that lose a router they cannot spare, and against decisions without
  // knowledge of the others.
  it('leaves a router in that is one of few or has no contact to a hub', async () => {
    const small = createLatenessFixture({ late: 0, routers: 4 });
    await small.run(10_000, () => 2_000);
    const alone = createLatenessFixture();
    await alone.run(10_000, () => 2_000, { hasContact: false });
    expect([...small.changes, ...alone.changes]).toEqual([]);
  });

  // Guards against a router that is a little too small and is out for most of the time.
  it('takes a router out for an eighth of the time at most while it is not severely late', async () => {
    const { run, readOutMs } = createLatenessFixture();
    const totalMs = 600_000;
    await run(totalMs, () => 210 + random() * 100, { perS: 10 });
    expect(readOutMs()).toBeGreaterThan(0);
    expect(readOutMs()).toBeLessThanOrEqual(totalMs / 8);
  });

  // Guards against a router that changes its mind with each burst of its own delays.
  it('stays out for as long as the load balancer needs to notice it', async () => {
    const { run, changes } = createLatenessFixture();
    await run(2_000, inTime);
    for (let i = 0; i < 10; i += 1) {
      await run(2_500, () => 900);
      await run(2_500, inTime);
    }
    const times = changes.map((change) => Number(change.split(' ')[1]));
    const outTimes = times.filter((_, i) => i % 2 === 1).map((at, i) => at - (times[i * 2] ?? 0));
    expect(outTimes.length).toBeGreaterThan(0);
    outTimes.forEach((ms) => expect(ms).toBeGreaterThanOrEqual(3_000));
  });
});

// Guards against limits that the slowest route decides.
it('measures delays against the smallest objective', () => {
  expect([limits, computeLatenessLimits([])]).toEqual([
    { lateMs: 200, inTimeMs: 100, severeMs: 400 },
    undefined,
  ]);
});
