import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createWaitingQueue } from '../src/waiting/create-waiting-queue.js';
import type { WaitingRequest } from '../src/waiting/waiting-request.js';

interface Named extends WaitingRequest {
  name: string;
}

const build = (name: string, change: Partial<WaitingRequest> = {}): Named => ({
  ...{ name, account: 'a', urgency: 1, work: 1, arrivedAt: 0, latestStartAt: 500 },
  ...{ isReturning: false, ...change },
});

/** Offers places until none waits; returns the names in the order in which they were served. */
const takeAll = (queue: ReturnType<typeof createWaitingQueue<Named>>, now = 0): string[] => {
  const names: string[] = [];
  for (;;) {
    const taken = queue.take(now, () => 'taken');
    if (!taken) return names;
    names.push(taken.name);
  }
};

const fill = (requests: readonly Named[], maxLength = 64) => {
  const queue = createWaitingQueue<Named>({ maxLength });
  requests.forEach((request) => queue.admit(request, 0, undefined));
  return queue;
};

describe('the order of waiting requests', () => {
  // Guards against urgent requests that wait behind a burst of less urgent ones.
  it('is by urgency first', () => {
    const queue = fill([build('late', { urgency: 2 }), build('soon', { urgency: 0 }), build('x')]);
    expect(takeAll(queue)).toEqual(['soon', 'x', 'late']);
  });

  // Guards against one account that takes all places while another one waits.
  it('gives accounts of one urgency equal work in turn', () => {
    const queue = fill([
      ...['a1', 'a2', 'a3', 'a4'].map((name) => build(name)),
      build('b1', { account: 'b', work: 2 }),
      build('b2', { account: 'b' }),
    ]);
    expect(takeAll(queue)).toEqual(['a1', 'a2', 'b1', 'a3', 'b2', 'a4']);
  });

  // Guards against a request that misses its time behind one that has more of it left.
  it('is by the latest start within an account', () => {
    const queue = fill([build('x', { latestStartAt: 400 }), build('y', { latestStartAt: 300 })]);
    expect(takeAll(queue)).toEqual(['y', 'x']);
  });

  // Guards against a place that is given to a request which is answered too late in any case.
  it('leaves out requests that can no longer start in time', () => {
    const queue = fill([build('x', { latestStartAt: 100 }), build('y')]);
    expect([takeAll(queue, 200), queue.takeExpired(200).map(({ name }) => name)]).toEqual([
      ['y'],
      ['x'],
    ]);
  });

  // Guards against requests that wait for ever behind more urgent ones that keep coming.
  it('rises with the waiting time, but not to the most urgent rank', () => {
    const old = build('old', { urgency: 3, latestStartAt: 9_000 });
    const queue = createWaitingQueue<Named>({ maxLength: 64 });
    queue.admit(old, 0, undefined);
    queue.admit(build('new', { urgency: 2, arrivedAt: 2_500, latestStartAt: 9_000 }), 2_500, 1);
    queue.admit(build('urgent', { urgency: 0, arrivedAt: 2_500, latestStartAt: 9_000 }), 2_500, 1);
    expect(takeAll(queue, 2_500)).toEqual(['urgent', 'old', 'new']);
  });

  // Guards against callers that were refused and find newcomers before them when they return.
  it('puts a request that returned before newcomers of its urgency', () => {
    const queue = fill([
      build('new', { account: 'b' }),
      build('back', { isReturning: true }),
      build('urgent', { urgency: 0 }),
    ]);
    expect(takeAll(queue)).toEqual(['urgent', 'back', 'new']);
  });

  // Guards against an account that overtakes the others with requests that were refused before.
  it('charges an account for the places that returning requests take', () => {
    const back = ['a1', 'a2', 'a3', 'a4'].map((name) => build(name, { isReturning: true }));
    const queue = fill([...back, ...['b1', 'b2'].map((name) => build(name, { account: 'b' }))]);
    expect(takeAll(queue)).toEqual(['a1', 'a2', 'b1', 'a3', 'b2', 'a4']);
  });
});

describe('a place that an account may not take', () => {
  // Guards against an account without a share whose requests keep the others from being looked at.
  it('is offered to the next account', () => {
    const surge = Array.from({ length: 20 }, (_, index) => build(`a${index}`));
    const queue = fill([...surge, build('b', { account: 'b' })]);
    const offered: string[] = [];
    const taken = queue.take(0, (request) => {
      offered.push(request.name);
      return request.account === 'a' ? 'noShare' : 'taken';
    });
    expect([offered, taken?.name]).toEqual([['a0', 'b'], 'b']);
  });

  // Guards against a request that can use no free place and keeps the others from being looked at.
  it('is offered to the next request when only this one cannot use it', () => {
    const queue = fill([build('x'), build('y', { latestStartAt: 600 })]);
    const taken = queue.take(0, ({ name }) => (name === 'x' ? 'unsuited' : 'taken'));
    expect([taken?.name, queue.count()]).toEqual(['y', 1]);
  });
});

describe('admission', () => {
  // Guards against requests that are held although their turn comes too late.
  it('refuses a request whose turn comes after its latest start', () => {
    const queue = fill(['a1', 'a2', 'a3', 'a4', 'a5'].map((name) => build(name)));
    const placesPerMs = 0.005;
    expect([
      queue.admit(build('x', { latestStartAt: 700 }), 0, placesPerMs),
      queue.admit(build('y', { latestStartAt: 900 }), 0, placesPerMs),
    ]).toEqual([
      { refusal: 'tooLate', ahead: 5, expectedMs: 1_200 },
      { ahead: 5, expectedMs: 1_200 },
    ]);
  });

  // Guards against a surge of one account that makes the others seem to come too late.
  it('does not count the surplus of another account as ahead', () => {
    const surge = Array.from({ length: 50 }, (_, index) => build(`a${index}`));
    const queue = fill(surge);
    expect(queue.admit(build('x', { account: 'b' }), 0, 0.005)).toMatchObject({ ahead: 1 });
  });

  // Guards against a queue that grows without a limit, and against the wrong one being removed.
  it('removes the least urgent, then of the account with the most work, then the last', () => {
    const first = [
      build('a1', { urgency: 2 }),
      build('a2', { urgency: 2, arrivedAt: 1 }),
      build('b1', { urgency: 2, account: 'b', arrivedAt: 2 }),
    ];
    const queue = fill(first, 3);
    const admit = (name: string, change: Partial<Named>) => {
      const { removed, refusal } = queue.admit(build(name, change), 3, undefined);
      return [removed?.name, refusal];
    };
    expect([
      admit('soon', { urgency: 0 }),
      admit('c1', { urgency: 2, account: 'c', arrivedAt: 3 }),
      admit('x', { urgency: 1 }),
      queue.count(),
    ]).toEqual([['a2', undefined], [undefined, 'queueFull'], ['b1', undefined], 3]);
  });
});

// Guards against a share by count instead of work, and against accounts that are passed over.
it('serves every account with demand at least nine tenths of its fair share over 2 s', () => {
  const stepMs = 2;
  const periodMs = 2_000;
  const account = fc.record({ backlog: fc.integer({ min: 4, max: 12 }), work: fc.nat(4) });
  fc.assert(
    fc.property(fc.array(account, { minLength: 2, maxLength: 6 }), (accounts) => {
      const queue = createWaitingQueue<Named>({ maxLength: 128 });
      const served = accounts.map(() => 0);
      for (let now = 0; now < periodMs; now += stepMs) {
        accounts.forEach(({ backlog, work }, index) => {
          const held = queue.list().filter((request) => request.account === String(index)).length;
          for (let count = held; count < backlog; count += 1) {
            const times = { arrivedAt: now, latestStartAt: now + periodMs };
            const change = { ...times, account: String(index), work: 1 + work / 2 };
            queue.admit(build(String(index), change), now, undefined);
          }
        });
        const taken = queue.take(now, () => 'taken');
        const index = Number(taken?.name);
        served[index] = (served[index] ?? 0) + (taken?.work ?? 0);
      }
      const fair = served.reduce((sum, work) => sum + work, 0) / accounts.length;
      return served.every((work) => work >= fair * 0.9);
    }),
    { seed: 20_261_206, numRuns: 50 },
  );
});
