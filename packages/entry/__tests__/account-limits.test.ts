import type { AccountId, FleetConfig } from '@vanillarelay/core';
import { createVirtualClock } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import { createAccountLimiter } from '../src/accounts/create-account-limiter.js';

const account = 'tremblay' as AccountId;
const config = { accounts: { [account]: { requestsPerSecond: 100 } } } as unknown as FleetConfig;
const requestsPerSecond = 400;

/** Counts the admitted requests in each of `seconds` seconds of a surge. */
const runSurge = async (shares: Record<string, number>, seconds: number) => {
  const virtual = createVirtualClock();
  const limiter = createAccountLimiter({ clock: virtual.clock });
  const admitted: number[] = [];
  let retryAfterMs: number | undefined;
  for (let second = 0; second < seconds; second += 1) {
    let count = 0;
    for (let i = 0; i < requestsPerSecond; i += 1) {
      await virtual.run(1_000 / requestsPerSecond);
      try {
        limiter.admit({ account, config, shares });
        count += 1;
      } catch (error) {
        retryAfterMs = (error as { retryAfterMs: number }).retryAfterMs;
      }
    }
    admitted.push(count);
  }
  return { admitted, retryAfterMs, usage: limiter.takeUsage(), again: limiter.takeUsage() };
};

// Guards against a surge that takes more than this entry's share of the limit, and against an entry
// that shuts out an account for which it has no share yet.
it('limits an account to its share, or to half of its limit without one, with a minimum', async () => {
  expect({
    share: await runSurge({ tremblay: 0.2 }, 3),
    unlisted: await runSurge({}, 3),
    zero: await runSurge({ tremblay: 0 }, 3),
  }).toMatchInlineSnapshot(`
    {
      "share": {
        "admitted": [
          39,
          20,
          20,
        ],
        "again": {},
        "retryAfterMs": 3,
        "usage": {
          "tremblay": 1200,
        },
      },
      "unlisted": {
        "admitted": [
          99,
          50,
          50,
        ],
        "again": {},
        "retryAfterMs": 3,
        "usage": {
          "tremblay": 1200,
        },
      },
      "zero": {
        "admitted": [
          1,
          1,
          1,
        ],
        "again": {},
        "retryAfterMs": 8,
        "usage": {
          "tremblay": 1200,
        },
      },
    }
  `);
});
