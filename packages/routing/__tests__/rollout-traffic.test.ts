import { createHash, type Hash } from '@vanillarelay/core';
import { createRolloutTraffic, type Rollout } from '@vanillarelay/routing';
import { beforeAll, describe, expect, it } from 'vitest';

let hash: Hash;
beforeAll(async () => {
  hash = await createHash();
});

const service = 'desk' as never;
const order: Rollout = {
  ...{ to: 'v2', durationMs: 12_000, state: 'inProgress', startIndex: 5, lastIndex: 5 },
  startedAt: 0,
};
function startTraffic(options: { readContactAt?: () => number } = {}) {
  const time = { now: 1_000 };
  const steps: unknown[] = [];
  const traffic = createRolloutTraffic({
    ...{ clock: { monotonic: () => time.now }, hash },
    bounds: { exposeShare: 0.1, exposeSlack: 50 },
    readContactAt: options.readContactAt ?? (() => time.now),
    listEndpoints: () => [],
    notifyStep: (_, __, step) => steps.push(step),
    notifyVerdict: () => {},
  });
  const update = (change: Partial<Rollout> = {}, ageMs = 0) =>
    traffic.updateRollouts([{ service, rollout: { ...order, ...change }, ageMs }]);
  /** Receives requests, from which the quota grows. */
  const receive = (count: number) => {
    for (let index = 0; index < count; index += 1) traffic.recordRequest(service);
  };
  const listNew = (keys: readonly string[]) =>
    keys.filter((key) => traffic.chooseSides(service, key)?.onTo === 'preferred');
  return { time, traffic, update, receive, listNew, steps };
}

const keys = Array.from({ length: 2_000 }, (_, index) => `chat-${index}`);

describe('the side of a chat', () => {
  // Guards against a chat that alternates between two versions, and whose prompt is read twice.
  it('is the same at all routers', () => {
    const [first, second] = [100, 200].map((count) => {
      const { traffic, update, receive, listNew } = startTraffic();
      traffic.updateRollouts([]);
      update();
      receive(count);
      return listNew(keys);
    });
    expect(first).toEqual(second);
    expect(first?.length).toBeGreaterThan(keys.length * 0.02);
    expect(first?.length).toBeLessThan(keys.length * 0.04);
  });

  // Guards against retries that take a failing old side's requests to the new version.
  it('is the old one for a retry', () => {
    const { traffic, update, receive, listNew } = startTraffic();
    traffic.updateRollouts([]);
    update();
    receive(100);
    const sides = listNew(keys).map((key) => traffic.chooseSides(service, key, true));
    expect(new Set(sides.map((side) => side?.onTo))).toEqual(new Set(['lastResort']));
  });
});

describe('the quota of a router', () => {
  const spend = ({ traffic, listNew }: ReturnType<typeof startTraffic>) => {
    const [key = ''] = listNew(keys);
    let sent = 0;
    while (traffic.chooseSides(service, key)?.onTo === 'preferred') {
      traffic.recordSend(service, 'v2');
      sent += 1;
    }
    return sent;
  };

  // Guards against routers that together send more to a new version than its share of their requests.
  it('grows only with the requests of this router', () => {
    const started = startTraffic();
    started.traffic.updateRollouts([]);
    started.update();
    const before = spend(started);
    started.receive(100);
    started.traffic.recordSend(service, 'v1');
    expect([before, spend(started)]).toEqual([0, 9]);
  });

  // Guards against a router that starts its quota anew for a repeated order or late news.
  it('is kept for the same roll-out and new for the next', () => {
    const started = startTraffic();
    started.traffic.updateRollouts([]);
    started.update();
    started.receive(100);
    const sent = [spend(started)];
    started.update({}, 500);
    sent.push(spend(started));
    started.update({ state: 'rolledBack', lastIndex: 6 });
    started.update({ startIndex: 7, lastIndex: 7 });
    sent.push(spend(started));
    started.receive(100);
    sent.push(spend(started));
    started.update({ startIndex: 5, lastIndex: 6, state: 'completed' });
    expect([sent, started.traffic.isInProgress()]).toEqual([[9, 0, 0, 9], true]);
  });
});

// Guards against a router that is cut off, or was stopped for a while, and goes on with a roll-out.
it('uses the new version as a last resort only, without recent contact', () => {
  const contact = { at: 1_000 };
  const { time, traffic, update, receive, listNew } = startTraffic({
    readContactAt: () => contact.at,
  });
  traffic.updateRollouts([]);
  update();
  receive(100);
  const counts = [listNew(keys).length > 0];
  time.now += 1_100;
  counts.push(listNew(keys).length > 0);
  contact.at = time.now;
  counts.push(listNew(keys).length > 0);
  expect(counts).toEqual([true, false, true]);
  expect(traffic.chooseSides('other' as never, 'chat-1')).toBeUndefined();
});

describe('an answer that is slow', () => {
  const answer = { service, route: 'chat', endpoint: 'e1' as never, isBad: false };

  const startWithTimes = () => {
    const started = startTraffic();
    started.traffic.updateRollouts([]);
    for (let index = 0; index < 60; index += 1) {
      const ms = 100 + (index % 10) * 10;
      started.traffic.recordOutcome({ ...answer, version: 'v1', ms });
    }
    started.update();
    return started;
  };
  const readNew = ({ traffic }: ReturnType<typeof startTraffic>) =>
    traffic.readLocal()[order.startIndex]?.chat?.new.slice(0, 2);

  // Guards against a version whose answers are right but take several times as long.
  it('counts as bad when it took several times as long as the old side’s', () => {
    const started = startWithTimes();
    [200, 300, 500, 600].forEach((ms) => {
      started.traffic.recordOutcome({ ...answer, version: 'v2', ms });
    });
    expect(readNew(started)).toEqual([2, 2]);
  });

  // Guards against a sound version that is blamed for prompts that its endpoints read first.
  it('is judged less strictly for the first request with a prompt', () => {
    const started = startWithTimes();
    [500, 500, 700].forEach((ms, index) => {
      const promptKey = index < 2 ? 'p1' : 'p2';
      started.traffic.recordOutcome({ ...answer, version: 'v2', ms, promptKey });
    });
    expect(readNew(started)).toEqual([1, 2]);
  });
});

// Guards against reports that grow with the number of routes and endpoints.
it('bounds the size of a report', () => {
  const { traffic, update } = startTraffic();
  update();
  for (let index = 0; index < 5_000; index += 1) {
    traffic.recordOutcome({
      ...{ service, route: `route-${index % 100}`, endpoint: `e${index % 70}` as never },
      ...{ version: 'v2', isBad: true },
    });
  }
  const routes = Object.values(traffic.readLocal()[order.startIndex] ?? {});
  expect(routes).toHaveLength(16);
  expect(Math.max(...routes.map(({ endpoints }) => Object.keys(endpoints).length))).toBeLessThan(
    33,
  );
});
