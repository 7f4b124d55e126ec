import type { RequestListener } from 'node:http';
import type { Rollout, RolloutBounds, SideCounts } from '@vanillarelay/routing';
import { afterEach, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

const service = 'desk' as never;
/** The old endpoint is known for longer than versions that appear together. */
const leadMs = 600;
const bounds: RolloutBounds = { exposeShare: 0.1, exposeSlack: 10 };
const durationMs = 60_000;
const order: Rollout = {
  ...{ to: 'v2', durationMs, state: 'inProgress', startIndex: 5, lastIndex: 5, startedAt: 0 },
};

let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
afterEach(() => fixture.close());

async function startFixture(options: Parameters<typeof createRouterFixture>[0] = {}) {
  fixture = await createRouterFixture({ rollouts: bounds, ...options });
  const counts = { v1: 0, v2: 0 };
  const failing = { v1: false, v2: false };
  const answer =
    (version: 'v1' | 'v2'): RequestListener =>
    (request, response) => {
      counts[version] += 1;
      response.setHeader('x-id', request.headers['x-id'] ?? '');
      response.setHeader('x-signed', '1');
      response.statusCode = failing[version] ? 500 : 200;
      response.end('done');
    };
  await fixture.addEndpoint('old', answer('v1'), { version: 'v1', bornAt: 1, slots: 64 });
  await fixture.clock.wait(leadMs);
  await fixture.addEndpoint('new', answer('v2'), { version: 'v2', bornAt: 2, slots: 64 });
  let sent = 0;
  return {
    ...{ counts, failing },
    /** Sends requests one after the other; returns how many reached each version. */
    sendRequests: async (count: number) => {
      const before = { ...counts };
      for (let index = 0; index < count; index += 1) {
        sent += 1;
        const headers = { 'x-id': `request-${sent}` };
        const reply = await fetch(`${fixture.url}/lookup/1`, { headers });
        await reply.text();
      }
      return { v1: counts.v1 - before.v1, v2: counts.v2 - before.v2 };
    },
    /** Lets the old endpoint leave. */
    removeOld: () => {
      const row = fixture.endpoints.find('old' as never);
      if (row) fixture.endpoints.merge({ ...row.record, sequence: 2, state: 'leaving' });
    },
    update: (change: Partial<Rollout> = {}) =>
      fixture.router.updateRollouts([{ service, rollout: { ...order, ...change }, ageMs: 0 }]),
  };
}

// Guards against a request that runs at a version which was started beside the old one before the
// order to move to it is known.
it('sends the new version nothing before the roll-out is known', async () => {
  const { sendRequests } = await startFixture();
  expect(await sendRequests(30)).toEqual({ v1: 30, v2: 0 });
  fixture.router.updateRollouts([]);
  expect(await sendRequests(30)).toEqual({ v1: 30, v2: 0 });
});

// Guards against versions that decide something in a deployment without roll-outs.
it('treats versions alike without bounds on roll-outs', async () => {
  const { sendRequests, update, removeOld } = await startFixture({ rollouts: undefined as never });
  removeOld();
  update({ state: 'rolledBack' });
  expect(await sendRequests(10)).toEqual({ v1: 0, v2: 10 });
  expect('versions' in fixture.router.readObservations()).toBe(false);
});

// Guards against more requests to a new version than its share allows.
it('keeps the quota while the roll-out is in progress, and reports the answers', async () => {
  const { sendRequests, update } = await startFixture();
  fixture.router.updateRollouts([]);
  update();
  const { v1, v2 } = await sendRequests(200);
  expect(v1 + v2).toBe(200);
  expect(v2).toBeGreaterThan(0);
  expect(v2).toBeLessThanOrEqual(0.1 * 200);
  const counts = fixture.router.readObservations().versions?.[order.startIndex]?.lookup;
  const count = ([good, bad]: SideCounts = [0, 0, 0, 0]) => good + bad;
  expect([count(counts?.old), count(counts?.new)]).toEqual([v1, v2]);
  expect(fixture.router.readRolloutGauges()).toMatchObject({
    'relay_rollout_sent{service="desk",version="v2"}': v2,
  });
  expect(fixture.events).toContainEqual(expect.objectContaining({ event: 'rollout.step' }));
});

// Guards against a router that goes on with a roll-out which may have been rolled back meanwhile.
it('sends the new version nothing without contact with a hub', async () => {
  const { sendRequests, update } = await startFixture({ readContactAt: () => -Infinity });
  fixture.router.updateRollouts([]);
  update();
  expect(await sendRequests(60)).toEqual({ v1: 60, v2: 0 });
});

// Guards against requests at a version after its roll-back, also when no old endpoint is left.
it('sends the new version nothing after a roll-back', async () => {
  const { sendRequests, update, removeOld } = await startFixture();
  update({ state: 'rolledBack', lastIndex: 6 });
  expect(await sendRequests(60)).toEqual({ v1: 60, v2: 0 });
  // A hub that is behind does not start the roll-out again.
  update();
  expect(await sendRequests(60)).toEqual({ v1: 60, v2: 0 });
  removeOld();
  expect(await sendRequests(5)).toEqual({ v1: 0, v2: 0 });
});

// Guards against requests at old endpoints, which stop as soon as the roll-out is completed.
it('sends the new version everything after the end', async () => {
  const { sendRequests, update } = await startFixture();
  update({ state: 'completed', lastIndex: 6 });
  expect(await sendRequests(30)).toEqual({ v1: 0, v2: 30 });
});

// Guards against a service that refuses requests because only endpoints of the new version are left.
it('sends the new version everything when no old endpoint accepts requests', async () => {
  const { sendRequests, update, removeOld } = await startFixture();
  update();
  removeOld();
  expect(await sendRequests(30)).toEqual({ v1: 0, v2: 30 });
});

// Guards against callers who receive the failures of a new version, and against a router that waits
// for the hubs when its own answers decide.
it('retries at the old version and stops by its own verdict', async () => {
  const { sendRequests, update, failing, counts } = await startFixture();
  failing.v2 = true;
  fixture.router.updateRollouts([]);
  update();
  await sendRequests(400);
  expect(fixture.results.every(({ status }) => status === 200)).toBe(true);
  const judged = fixture.events.filter(({ event }) => event === 'rollout.judged');
  expect(judged).toMatchObject([{ outcome: 'rolledBack', good: 0, bad: counts.v2 }]);
  expect(await sendRequests(60)).toEqual({ v1: 60, v2: 0 });
  expect(fixture.router.listRolloutProposals()).toMatchObject([
    { service, startIndex: 5, outcome: 'rolledBack' },
  ]);
});
