import { ResultCode } from '@vanillarelay/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';
import { startLeavingCallers } from './start-leaving-callers.js';

const callerCount = 20;
/** Enough for all callers at once. */
const slots = 100;
const leaveAfterMs = 100;
const blockMs = 800;
/** Long enough for all requests to reach the endpoint before, also on a busy machine. */
const lateLeaveMs = 1_000;
/** Time in which the router handles what came in while it was blocked. */
const settleMs = 300;

/** Guards against work for callers that disconnected while the router's event loop was late. */
describe('a late event loop', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  let callers: Awaited<ReturnType<typeof startLeavingCallers>>;

  beforeEach(async () => {
    fixture = await createRouterFixture();
    callers = await startLeavingCallers();
  });

  afterEach(async () => {
    await callers.close();
    fixture.close();
  });

  const announce = (id: string, change = {}) =>
    fixture.announce(id, callers.endpointPort, { slots, ...change });

  /** Opens connections to the endpoint that later requests reuse. */
  const openConnections = async () => {
    await callers.setAnswer({ answerAfterMs: 30 });
    const requests = Array.from({ length: callerCount }, () =>
      fetch(`${fixture.url}/lookup/1`, { headers: { 'x-id': 'r1' } }),
    );
    await Promise.all(requests);
    await callers.setAnswer({});
    await callers.takeArrivals();
  };

  const send = (
    parts: string[],
    how: 'end' | 'destroy' | 'resetAndDestroy' = 'destroy',
    leaveMs = leaveAfterMs,
  ) =>
    callers.startCallers({
      ...{ count: callerCount, port: Number(new URL(fixture.url).port) },
      ...{ parts, leaveAfterMs: leaveMs, how },
    });

  /** Blocks the event loop while the callers leave; counts the requests that are sent afterwards. */
  const countLateSends = async (ms = blockMs) => {
    blockLoop(ms);
    await fixture.clock.wait(settleMs);
    return callers.takeArrivals();
  };

  it.each(['end', 'destroy', 'resetAndDestroy'] as const)(
    'sends nothing for callers that left before their requests were read (%s)',
    async (how) => {
      announce('e1');
      await openConnections();
      await send([request], how);
      expect(await countLateSends()).toBe(0);
    },
  );

  it('sends nothing for callers that left over new connections to the endpoint', async () => {
    announce('e1');
    await send([request]);
    expect(await countLateSends()).toBe(0);
  });

  it('sends nothing for callers that left after two pipelined requests', async () => {
    announce('e1');
    await openConnections();
    await send([request, request]);
    expect(await countLateSends()).toBe(0);
  });

  it('sends nothing for callers that left after a body in chunks', async () => {
    announce('e1');
    await openConnections();
    await send([chunkedHead, '1\r\nx\r\n', '1\r\ny\r\n', '0\r\n\r\n']);
    expect(await countLateSends()).toBe(0);
  });

  it('sends nothing for callers that left while they waited for capacity', async () => {
    announce('e1');
    await openConnections();
    announce('e1', { sequence: 2, slots: 0 });
    await send([request]);
    await fixture.clock.wait(leaveAfterMs / 2);
    announce('e1', { sequence: 3 });
    expect(await countLateSends()).toBe(0);
  });

  it('sends nothing again for callers that left before a refusal was read', async () => {
    announce('e1');
    announce('e2');
    await openConnections();
    await callers.setAnswer({ isRefusing: true, answerAfterMs: 2 * lateLeaveMs });
    await send([request], 'destroy', lateLeaveMs);
    let arrivals = 0;
    while (arrivals < callerCount) {
      await fixture.clock.wait(leaveAfterMs / 10);
      arrivals += await callers.takeArrivals();
    }
    expect(await countLateSends(3 * lateLeaveMs)).toBe(0);
  });

  // Guards against time limits that begin only when a late router reads the request.
  it('refuses a request whose deadline passed before it was read', async () => {
    announce('e1');
    await openConnections();
    fixture.front.once('request', () => blockLoop(blockMs));
    const first = fetch(`${fixture.url}/lookup/1`, { headers: { 'x-id': 'r1' } });
    await callers.startCallers({
      ...{ count: 1, port: Number(new URL(fixture.url).port), leaveAfterMs: 2 * blockMs },
      ...{ parts: [urgentRequest], how: 'destroy', startAfterMs: leaveAfterMs },
    });
    await first;
    await fixture.clock.wait(settleMs);
    const refusals = fixture.results.flatMap(({ refusal }) => (refusal ? [refusal] : []));
    expect(refusals).toMatchObject([{ code: ResultCode.deadlineExceeded, notRun: true }]);
    expect(await callers.takeArrivals()).toBe(1);
  });

  it('still sends the requests of callers that stay', async () => {
    announce('e1');
    await openConnections();
    const reply = fetch(`${fixture.url}/lookup/1`, { headers: { 'x-id': 'r1' } });
    expect(await countLateSends()).toBe(1);
    expect((await reply).status).toBe(200);
  });
});

const request = 'GET /lookup/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: r1\r\n\r\n';
/** Its deadline is shorter than the time for which the loop is blocked. */
const urgentRequest = request.replace('x-id', 'x-deadline: 300\r\nx-id');
const chunkedHead =
  'POST /lookup/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n';

function blockLoop(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
