import {
  createBacklogView,
  createCacheView,
  createHeldShare,
  createSpeedView,
  createWorkEstimator,
  type WorkRequest,
} from '@vanillarelay/scheduling';
import { describe, expect, it } from 'vitest';

const [e1, e2] = ['e1', 'e2'] as never[] as [never, never];
const service = 'chat' as never;

describe('the speed view', () => {
  const report = (percent: number, count = 20) => {
    const view = createSpeedView();
    for (let index = 0; index < count; index += 1)
      view.recordReport(service, e1, percent, index * 100);
    return { view, at: (count - 1) * 100 };
  };

  // Guards against a wrong report that draws all work to an endpoint or takes all from it.
  it.each([
    [0.001, 0.5],
    [1e9, 8],
  ])('bounds the factor of a report of %d percent', (percent, expected) => {
    const { view, at } = report(percent, 200);
    expect(view.readFactor(e1, at)).toBeCloseTo(expected, 1);
  });

  // Guards against seen times that move a factor beyond its bounds.
  it('bounds the factor with seen times', () => {
    const { view, at } = report(300);
    for (let answer = 0; answer < 100; answer += 1) view.recordSeen(e1, 1, 60_000);
    expect(view.readFactor(e1, at)).toBe(8);
  });

  // Guards against an endpoint that is slow although it reports the usual time.
  it('learns from seen times that an endpoint is slower than it reports', () => {
    const { view, at } = report(100);
    for (let answer = 0; answer < 10; answer += 1) view.recordSeen(e1, 150, 450);
    expect(view.readFactor(e1, at)).toBeGreaterThan(1.8);
  });

  // Guards against a short slow period that is taken for a lasting one, and one that is not seen.
  it('follows a short slow period for its time only', () => {
    const { view, at } = report(100);
    view.recordReport(service, e1, 250, at + 100);
    const factors = [100, 200, 600].map((ms) => view.readFactor(e1, at + ms));
    expect(factors[0]).toBeGreaterThan(2.4);
    expect(factors[1]).toBeLessThan(2);
    expect(factors[2]).toBeLessThan(1.1);
    expect(view.readWeight(e1)).toBe(1);
  });

  // Guards against routers whose home orders differ because each saw other reports.
  it('gives nearly all routers the same weight for a lasting speed with short slow periods', () => {
    const weights = Array.from({ length: 100 }, (_, router) => {
      const view = createSpeedView();
      for (let index = 0; index < 12; index += 1) {
        const isSlow = (router * 7 + index * 3) % 10 === 0;
        view.recordReport(service, e1, isSlow ? 325 : 130, index * 300);
      }
      return view.readWeight(e1);
    });
    expect(weights.filter((weight) => weight === 0.75).length).toBeGreaterThanOrEqual(98);
  });

  // Guards against services that stay switched over after their endpoints stopped reporting.
  it('counts a service as reported for a while after a report', () => {
    const { view, at } = report(100);
    const other = 'other' as never;
    expect([
      view.isReported(service, at),
      view.isReported(service, at + 60_000),
      view.isReported(other, at),
    ]).toEqual([true, false, false]);
  });
});

describe('the backlog view', () => {
  const createView = () => createBacklogView({ readFactor: () => 1 });

  // Guards against own sends that count only after the next exchange, so that all go to one endpoint.
  it('counts own sends at once and until their first event', () => {
    const view = createView();
    const first = view.recordSend(e1, 100, 0);
    const second = view.recordSend(e1, 50, 0);
    const sent = view.estimate(e1, 0);
    view.recordFirstEvent(second);
    const read = view.estimate(e1, 0);
    view.recordEnd(first);
    view.recordEnd(second);
    expect([sent, read, view.estimate(e2, 0)]).toEqual([150, 0, 0]);
  });

  // Guards against work of a failed request that counts for ever.
  it('forgets a request that ends without an event, and no other', () => {
    const view = createView();
    const first = view.recordSend(e1, 100, 0);
    view.recordSend(e1, 50, 0);
    view.recordEnd(first);
    expect([view.estimate(e1, 0), view.readLocal(0)]).toEqual([50, { e1: 50 }]);
  });

  // Guards against an endpoint that stays full in the view although it reads all the time.
  it('takes off what the endpoint has probably read meanwhile', () => {
    const view = createView();
    view.recordSend(e1, 100, 0);
    expect([0, 30, 1_000].map((now) => view.estimate(e1, now))).toEqual([100, 70, 50]);
  });

  // Guards against decisions by news of a router that was cut off.
  it('trusts the reports of others less with their age', () => {
    const view = createView();
    view.updateRemote({ e1: 200 } as never, 0);
    const estimates = [0, 800, 2_000].map((now) => view.estimate(e1, now));
    expect([estimates, view.isCurrent(1_999), view.isCurrent(2_000)]).toEqual([
      ...[[200, 100, 0], true, false],
    ]);
  });

  // Guards against reports that hold zeros or fractions, which cost bytes in each exchange.
  it('reports whole milliseconds and leaves out zero', () => {
    const view = createView();
    view.recordSend(e1, 10.4, 0);
    view.recordSend(e2, 0.2, 0);
    expect(view.readLocal(0)).toEqual({ e1: 10 });
  });
});

describe('the cache view', () => {
  const prompt = {
    promptParts: [
      { id: 'a', tokens: 100 },
      { id: 'b', tokens: 800 },
      { id: 'c', tokens: 50 },
    ],
    promptTokens: 960,
  };

  // Guards against a part that counts as held although one before it is not.
  it('counts the tokens after the first part that is not held', () => {
    const view = createCacheView();
    const read = () => view.countUnread(e1, prompt, 0, 10);
    const counts = [read()];
    view.recordSend(e1, [{ id: 'b', tokens: 800 }], 1);
    counts.push(read());
    view.recordSend(e1, [{ id: 'a', tokens: 100 }], 2);
    counts.push(read(), view.countUnread(e2, prompt, 0, 10));
    expect(counts).toEqual([
      ...[
        { shared: 900, own: 60 },
        { shared: 900, own: 60 },
      ],
      ...[
        { shared: 0, own: 60 },
        { shared: 900, own: 60 },
      ],
    ]);
  });

  // Guards against parts that count as held after the endpoint restarted or refused them.
  it('forgets what was sent before a restart or did not run', () => {
    const view = createCacheView();
    view.recordSend(e1, prompt.promptParts, 5);
    const afterRestart = view.countUnread(e1, prompt, 6, 10);
    view.removeSend(e1, prompt.promptParts, 5);
    const afterRefusal = view.countUnread(e1, prompt, 0, 10);
    expect([afterRestart.shared, afterRefusal.shared]).toEqual([900, 900]);
  });

  // Guards against a router whose memory grows with the prompts that it sees.
  it('forgets the parts that were sent longest ago', () => {
    const view = createCacheView();
    view.recordSend(e1, prompt.promptParts, 0);
    for (let part = 0; part < 10_000; part += 1)
      view.recordSend(e1, [{ id: `other ${part}`, tokens: 1 }], 1);
    expect(view.countUnread(e1, prompt, 0, 2).shared).toBe(900);
  });
});

describe('the share of new prompts that homes hold', () => {
  // Guards against a restarted router that takes all prompts for unread.
  it('is high at first for endpoints that have run long enough, and none for new ones', () => {
    const share = createHeldShare();
    expect(share.estimate(service, 60_000, 36)).toBeGreaterThan(0.5);
    expect(share.estimate(service, 0, 36)).toBe(0);
  });

  // Guards against prompts that count as read by others at a router that is the only one.
  it('does not grow with the sends of a single router', () => {
    const share = createHeldShare();
    for (let send = 0; send < 100; send += 1) share.recordSend(service, send % 2 === 0);
    expect([share.estimate(service, 0, 1), share.estimate(service, 0, 36) > 0.9]).toEqual([
      ...[0, true],
    ]);
  });
});

describe('the work estimator', () => {
  const request: WorkRequest = {
    ...{ service, route: 'chat', promptTokens: 9_200 },
    promptParts: [{ id: 'a', tokens: 9_200 }],
  };
  const createEstimator = () =>
    createWorkEstimator({ readUnread: () => ({ readTokens: 9_200, heldShare: 0 }) });
  const observe = (
    estimator: ReturnType<typeof createEstimator>,
    seenMs: number,
    count: number,
  ): void => {
    for (let answer = 0; answer < count; answer += 1) {
      const estimate = estimator.estimate(request, e1, false);
      estimator.recordFirstEvent({ request, estimate, waitMs: 0, factor: 1, seenMs });
    }
  };

  // Guards against estimates that are of no use until much was learned.
  it('begins with a sensible cost and a high uncertainty', () => {
    const { readMs, uncertainty } = createEstimator().estimate(request, e1, false);
    expect([Math.round(readMs), uncertainty]).toEqual([184, 0.5]);
  });

  // Guards against a service of another speed whose cost is never learned.
  it('learns the cost of a token and becomes certain', () => {
    const estimator = createEstimator();
    observe(estimator, 370, 60);
    const { readMs, uncertainty } = estimator.estimate(request, e1, false);
    expect(readMs).toBeGreaterThan(330);
    expect(uncertainty).toBeLessThan(0.2);
  });

  // Guards against a prompt that was held, or waited, whose time is taken for the cost of a token.
  it('changes little by a single odd observation', () => {
    const estimator = createEstimator();
    observe(estimator, 195, 20);
    observe(estimator, 5_000, 1);
    observe(estimator, 12, 1);
    expect(estimator.estimate(request, e1, false).readMs).toBeGreaterThan(150);
    expect(estimator.estimate(request, e1, false).readMs).toBeLessThan(230);
  });

  it('estimates the answer from the hint, the limit and past answers', () => {
    const estimator = createEstimator();
    for (let answer = 0; answer < 400; answer += 1) estimator.recordEnd(request, 40);
    const read = (more: Partial<WorkRequest>) =>
      Math.round(estimator.estimate({ ...request, ...more }, e1, false).writeTokens);
    expect([
      read({}),
      read({ outputTokensHint: 70 }),
      read({ outputTokensHint: 70, maxOutputTokens: 50 }),
    ]).toEqual([40, 70, 50]);
  });
});
