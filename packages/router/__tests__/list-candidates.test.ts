import { afterEach, expect, it } from 'vitest';
import { listCandidates } from '../src/requests/list-candidates.js';
import type { RouterParts } from '../src/requests/router-parts.js';
import { createRouterFixture } from './create-router-fixture.js';

let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
afterEach(() => fixture.close());

// Guards against a mean that rises when a data centre is taken out: the platform's bound counts the
// idle endpoints there, so the others must share the work within a multiple of the lower mean.
it('takes the mean over all endpoints, also where a data centre is out', async () => {
  fixture = await createRouterFixture();
  const { endpoints, clock, announce } = fixture;
  announce('e1', 1, { dataCentre: 'multan' as never });
  announce('e2', 2);
  announce('e3', 3, { state: 'leaving' });
  const parts = {
    ...{ endpoints, clock },
    health: { listFailing: () => new Set(), isAvoided: () => false },
    loads: { estimate: (id: string) => (id === 'e2' ? 6 : 0) },
    pacer: { hasRoom: () => true },
    isDataCentreOut: (id: string) => id === 'multan',
  } as unknown as RouterParts;
  const { open, mean, total, passedOver } = listCandidates(parts, 'desk' as never, undefined);
  expect({ open, mean, total, passedOver }).toEqual({
    open: [{ id: 'e2', dataCentre: 'lahore', slots: 4, load: 6 }],
    mean: 2,
    total: 1,
    passedOver: { out: 1, leaving: 1 },
  });
});
