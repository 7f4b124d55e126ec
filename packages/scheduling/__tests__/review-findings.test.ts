import { expect, it } from 'vitest';
import { createServiceShares, createSpeedView } from '@vanillarelay/scheduling';
import { createFairRounds } from '../src/waiting/create-fair-rounds.js';

const endpoint = 'e1' as never;
const service = 'llm' as never;

// Guards against a speed that is learned from seen times and stops at half of the difference.
it('learns the speed of an endpoint that reports none', () => {
  const speeds = createSpeedView();
  for (let index = 0; index < 200; index += 1) {
    const expectedMs = 200 * speeds.readFactor(endpoint, index);
    speeds.recordSeen(endpoint, expectedMs, 200 * 4);
  }
  expect(speeds.readFactor(endpoint, 200)).toBeGreaterThan(3.5);
});

// Guards against a request that is held back although its group has the only demand, because it asks
// before it waits.
it('counts a request that does not wait yet as demand', () => {
  const shares = createServiceShares({ random: () => 0 });
  const group = '0 a' as never;
  shares.updateRemote({}, 0);
  shares.start(service, group);
  const request = { service, group, waiting: new Map(), places: 10, load: 1 };
  expect(shares.mayTake(request)).toBe(true);
});

// Guards against an account whose large request is declined once and then starts again at the end.
it('keeps the credit of an account whose offer was declined', () => {
  const rounds = createFairRounds();
  const both = new Set(['large', 'small']);
  const heads = new Map([
    ['large', 3],
    ['small', 1],
  ]);
  const served: (string | undefined)[] = [];
  for (let index = 0; index < 4; index += 1) {
    const account = rounds.choose(heads, both);
    served.push(account);
    if (account === 'small') rounds.record('small', 1);
    // The offer to the large one is declined: this time only the small one is asked.
    if (account === 'large') rounds.choose(new Map([['small', 1]]), both);
  }
  expect(rounds.readCredit('large')).toBeGreaterThanOrEqual(3);
  expect(served).toContain('large');
});
