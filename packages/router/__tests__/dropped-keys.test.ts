import { afterEach, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
afterEach(() => fixture.close());

// Guards against serving any caller after a configuration whose list of accounts has become empty.
it('a request is refused when the last account was dropped', async () => {
  fixture = await createRouterFixture({ requiresKey: true, isPublic: false });
  let runs = 0;
  await fixture.addEndpoint('e1', (_, response) => {
    runs += 1;
    response.end();
  });
  const reply = await fetch(`${fixture.url}/lookup/1`, { headers: { 'x-id': 'r1' } });
  expect([reply.status, runs]).toEqual([401, 0]);
});
