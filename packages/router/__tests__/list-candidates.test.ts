import { afterEach, expect, it } from 'vitest';
import { listCandidates } from '../src/requests/placing/list-candidates.js';
import type { RouterContext } from '../src/requests/router-context.js';
import { createRouterFixture } from './create-router-fixture.js';

let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
afterEach(() => fixture.close());

// Guards against a mean load that rises when a data centre is taken out. The platform's load bound
// also counts the idle endpoints there, so the others must stay within a multiple of that lower
// mean.
it('computes the mean load over all endpoints, including a data centre that is out', async () => {
  fixture = await createRouterFixture();
  const { endpoints, clock, announce } = fixture;
  announce('e1', 1, { dataCentre: 'multan' as never });
  announce('e2', 2);
  announce('e3', 3, { state: 'leaving' });
  const context = {
    ...{ endpoints, clock },
    health: { listFailing: () => new Set(), isAvoided: () => false, isRefusing: () => false },
    loads: { estimate: (id: string) => (id === 'e2' ? 6 : 0) },
    coldRateLimiter: { hasCapacity: () => true },
    notices: { isLeaving: () => false, computeWaitMs: () => 0, isWaitingElsewhere: () => false },
    rateLimiter: { hasCapacity: () => true, computePromptShare: () => 1 },
    isDataCentreOut: (id: string) => id === 'multan',
  } as unknown as RouterContext;
  const { open, meanLoad, total, passedOver } = listCandidates(context, 'desk' as never, undefined);
  expect({ open, meanLoad, total, passedOver }).toEqual({
    open: [{ id: 'e2', dataCentre: 'lahore', slots: 4, load: 6 }],
    meanLoad: 2,
    total: 1,
    passedOver: { out: 1, leaving: 1 },
  });
});

// Guards against a load bound so low that the endpoints which are left accept no prompts while the
// others are down.
it('computes the mean load without endpoints that refuse connections', async () => {
  fixture = await createRouterFixture();
  const { endpoints, clock, announce } = fixture;
  ['e1', 'e2', 'e3', 'e4'].forEach((id, index) => announce(id, index + 1));
  const context = {
    ...{ endpoints, clock },
    health: {
      listFailing: () => new Set(),
      isAvoided: () => false,
      isRefusing: (id: string) => id !== 'e1',
    },
    loads: { estimate: (id: string) => (id === 'e1' ? 8 : 0) },
    coldRateLimiter: { hasCapacity: () => true },
    notices: { isLeaving: () => false, computeWaitMs: () => 0, isWaitingElsewhere: () => false },
    rateLimiter: { hasCapacity: () => true, computePromptShare: () => 1 },
    isDataCentreOut: () => false,
  } as unknown as RouterContext;
  const { meanLoad, passedOver } = listCandidates(context, 'desk' as never, undefined);
  expect({ meanLoad, passedOver }).toEqual({ meanLoad: 8, passedOver: { refusing: 3 } });
});

// Guards against a caller that is told to return after an infinite time.
it('names no wait when no endpoint accepts requests', async () => {
  fixture = await createRouterFixture();
  const { endpoints, clock, announce } = fixture;
  announce('e1', 1, { state: 'leaving' });
  const context = {
    ...{ endpoints, clock },
    health: { listFailing: () => new Set(), isRefusing: () => false },
    loads: { estimate: () => 0 },
  } as unknown as RouterContext;
  const { total, waitMs } = listCandidates(context, 'desk' as never, undefined);
  expect({ total, waitMs }).toEqual({ total: 0, waitMs: 0 });
});
