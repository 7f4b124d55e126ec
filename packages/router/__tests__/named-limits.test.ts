import type { RequestListener } from 'node:http';
import { ResultCode } from '@vanillarelay/core';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
afterEach(() => fixture.close());

const post = async (): Promise<number> => {
  const answer = await fetch(`${fixture.url}/order/1`, {
    method: 'POST',
    headers: { 'x-id': 'r1' },
    body: 'x',
  });
  await answer.text();
  return answer.status;
};

const limitPerS = 1;
const maxRetryAfterMs = 1_000;
/** Requests beyond the rate that an endpoint tolerates. */
const burst = 4;

/** Adds an endpoint that answers each request, and names a limit if there is one. */
async function addEndpoint(id: string, arrivals: string[], limit?: number): Promise<void> {
  const answer: RequestListener = (message, response) => {
    arrivals.push(id);
    message.resume();
    response.writeHead(200, {
      ...{ 'x-signed': '1', 'x-id': 'r1' },
      ...(limit === undefined ? {} : { 'x-limit': String(limit) }),
    });
    response.end('ok');
  };
  await fixture.addEndpoint(id, answer);
}

describe('an endpoint that names a limit of requests per second', () => {
  // Guards against sending an endpoint far more requests than it says it accepts.
  it('gets no more than that, while another one takes the rest', async () => {
    fixture = await createRouterFixture();
    const arrivals: string[] = [];
    await addEndpoint('e1', arrivals, limitPerS);
    await addEndpoint('e2', arrivals);
    const startedAt = performance.now();
    const statuses = [];
    for (let index = 0; index < 60; index += 1) statuses.push(await post());
    const elapsedS = (performance.now() - startedAt) / 1_000;
    expect(new Set(statuses)).toEqual(new Set([200]));
    const limited = arrivals.filter((id) => id === 'e1').length;
    expect(limited).toBeLessThanOrEqual(elapsedS * limitPerS + burst);
  });

  // Guards against a request that is held although no endpoint may run it in time.
  it('refuses requests at once, with a time to return, when no other endpoint is left', async () => {
    fixture = await createRouterFixture();
    await addEndpoint('e1', [], limitPerS / 10);
    const statuses = [await post(), await post()];
    const { refusal, waitedMs } = fixture.results[1] ?? {};
    expect([statuses, refusal?.code, refusal?.retryAfterMs, waitedMs]).toEqual([
      ...[[200, 503], ResultCode.endpointBusy, maxRetryAfterMs, undefined],
    ]);
  });
});
