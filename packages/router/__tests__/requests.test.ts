import { ResultCode } from '@vanillarelay/core';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

type Fixture = Awaited<ReturnType<typeof createRouterFixture>>;
type Listener = Parameters<Fixture['addEndpoint']>[1];

let fixture: Fixture;
afterEach(() => fixture.close());

const post = (path: string, headers: Record<string, string> = {}) =>
  fetch(`${fixture.url}${path}`, {
    method: 'POST',
    headers: { 'x-id': 'r1', ...headers },
    body: 'x',
  });

/** Wraps a listener to count the requests that reach an endpoint. */
function createCounted(listener: Listener) {
  const counted = { runs: 0 };
  const run: Listener = (message, response) => {
    counted.runs += 1;
    message.resume();
    listener(message, response);
  };
  return { counted, run };
}

const signed = { 'x-signed': '1', 'x-id': 'r1' };
const answer: Listener = (_, response) => response.writeHead(200, signed).end('ok');
const shed: Listener = (_, response) => response.writeHead(503, { 'x-not-run': '1' }).end();
const crash: Listener = (message) => message.socket.destroy();

describe('a request that may not run twice', () => {
  // Guards against retrying a request that may have run before its answer was lost.
  it('is sent once and reported to the caller with an unknown outcome', async () => {
    fixture = await createRouterFixture();
    const first = createCounted(crash);
    const second = createCounted(crash);
    await fixture.addEndpoint('e1', first.run);
    await fixture.addEndpoint('e2', second.run);
    const { status } = await post('/order/1');
    expect([status, first.counted.runs + second.counted.runs]).toEqual([502, 1]);
  });

  // Guards against refusing a request that another endpoint could still run.
  it('is sent to another endpoint when the first proves that it did not run it', async () => {
    fixture = await createRouterFixture();
    await fixture.addEndpoint('e1', shed);
    await fixture.addEndpoint('e2', answer);
    expect((await post('/order/1')).status).toBe(200);
  });

  // Guards against relaying a status that means "not run" without proof.
  it('is answered with 502 when its endpoint answers 503 without proof', async () => {
    fixture = await createRouterFixture();
    await fixture.addEndpoint('e1', (_, response) => response.writeHead(503, signed).end());
    expect((await post('/order/1')).status).toBe(502);
  });

  // Guards against relaying an answer that belongs to another request.
  it('does not receive an answer with another request id', async () => {
    fixture = await createRouterFixture();
    const wrong = { 'x-signed': '1', 'x-id': 'r0' };
    await fixture.addEndpoint('e1', (_, response) => response.writeHead(200, wrong).end('no'));
    expect((await post('/order/1')).status).toBe(502);
  });

  // Guards against relaying a success that no endpoint signed.
  it('does not receive a success without a signature', async () => {
    fixture = await createRouterFixture();
    await fixture.addEndpoint('e1', (_, response) => response.writeHead(200).end('no'));
    expect((await post('/order/1')).status).toBe(502);
  });
});

describe('a refusal', () => {
  // Guards against holding a request that no endpoint can serve.
  it('is immediate, states that nothing ran and when to retry', async () => {
    fixture = await createRouterFixture();
    const startedAt = performance.now();
    const { status, headers } = await post('/order/1', { 'x-deadline': '2000' });
    const ms = performance.now() - startedAt;
    expect([status, headers.get('retry-after'), ms < 1_000]).toEqual([503, '0.5', true]);
  });

  // Guards against counting an endpoint that was never reached as a possible run.
  it('guarantees that nothing ran when no endpoint could be reached', async () => {
    fixture = await createRouterFixture();
    fixture.announce('e1', 1);
    expect((await post('/order/1')).status).toBe(503);
  });

  it('is 404 without a route', async () => {
    fixture = await createRouterFixture();
    expect((await post('/other/')).status).toBe(404);
  });

  it('is 413 for a body above the limit', async () => {
    fixture = await createRouterFixture();
    const { status } = await fetch(`${fixture.url}/order/1`, {
      ...{ method: 'POST', headers: { 'x-id': 'r1' }, body: 'x'.repeat(70_000) },
    });
    expect(status).toBe(413);
  });
});

describe('an idempotent request', () => {
  // Guards against failing a request that a second endpoint can answer.
  it('is retried at another endpoint after a crash', async () => {
    fixture = await createRouterFixture();
    await fixture.addEndpoint('e1', crash);
    await fixture.addEndpoint('e2', answer);
    expect((await post('/lookup/1')).status).toBe(200);
  });

  // Guards against retrying on more endpoints than the route allows.
  it('runs on no more endpoints than its route allows', async () => {
    fixture = await createRouterFixture();
    const endpoints = ['e1', 'e2', 'e3', 'e4'].map((id) => ({ id, ...createCounted(crash) }));
    for (const { id, run } of endpoints) await fixture.addEndpoint(id, run);
    const { status } = await post('/lookup/1');
    const runs = endpoints.reduce((sum, { counted }) => sum + counted.runs, 0);
    expect([status, runs]).toEqual([502, 2]);
  });
});

describe('a stream', () => {
  const writeEvents = (from: number, to: number) =>
    Array.from({ length: to - from + 1 }, (_, i) => `id: ${from + i}\ndata: ${from + i}\n\n`).join(
      '',
    );
  const head = { ...signed, 'content-type': 'text/event-stream' };

  // Guards against missing, duplicate or partial events when an endpoint fails within an event.
  it('resumes at another endpoint after its last complete event', async () => {
    fixture = await createRouterFixture();
    const listener: Listener = (message, response) => {
      message.resume();
      response.writeHead(200, head);
      const after = message.headers['last-event-id'];
      if (after !== undefined) {
        response.end(writeEvents(Number(after) + 1, 5));
        return;
      }
      response.write(`${writeEvents(1, 3)}id: 4\nda`);
      setTimeout(() => message.socket.destroy(), 20);
    };
    await fixture.addEndpoint('e1', listener);
    await fixture.addEndpoint('e2', listener);
    const reply = await post('/chat/1');
    expect(await reply.text()).toBe(writeEvents(1, 5));
  });

  // Guards against a stream that looks complete although its end was never received.
  it('is aborted when no endpoint can resume it', async () => {
    fixture = await createRouterFixture();
    await fixture.addEndpoint('e1', (message, response) => {
      response.writeHead(200, head);
      response.write(writeEvents(1, 2));
      setTimeout(() => message.socket.destroy(), 20);
    });
    const reply = await post('/chat/1');
    await expect(reply.text()).rejects.toThrow();
  });

  // Guards against engines that keep working for a caller who has disconnected.
  it('is cancelled at the endpoint when its caller disconnects', async () => {
    fixture = await createRouterFixture();
    const closed = new Promise<string>((resolve) => {
      void fixture.addEndpoint('e1', (message, response) => {
        response.writeHead(200, head);
        response.write(writeEvents(1, 1));
        message.socket.once('close', () => resolve('closed'));
      });
    });
    await fixture.clock.wait(50);
    const leaving = new AbortController();
    const reply = await fetch(`${fixture.url}/chat/1`, {
      ...{ method: 'POST', headers: { 'x-id': 'r1' }, body: 'x', signal: leaving.signal },
    });
    expect(reply.status).toBe(200);
    leaving.abort();
    expect(await closed).toBe('closed');
  });
});

// Guards against holding a request beyond its deadline.
it('answers at the deadline when the endpoint does not', async () => {
  fixture = await createRouterFixture();
  await fixture.addEndpoint('e1', (message) => message.resume());
  const { status } = await post('/order/1', { 'x-deadline': '200' });
  expect(status).toBe(504);
});

// Guards against sending to an endpoint whose address was reassigned to another one.
it('removes an endpoint whose address belongs to another one', async () => {
  fixture = await createRouterFixture();
  await fixture.addEndpoint('e1', (_, response) => response.writeHead(421).end());
  const { status } = await post('/order/1');
  expect([status, fixture.endpoints.find('e1' as never)?.record.state]).toEqual([503, 'gone']);
});

// Guards against a request that crashes another endpoint each time its caller retries it.
it('refuses a request after it crashed three endpoints and keeps serving others', async () => {
  fixture = await createRouterFixture();
  const crashing = createCounted((message, response) => {
    if (message.url === '/lookup/bad') message.socket.destroy();
    else answer(message, response);
  });
  await Promise.all(['e1', 'e2', 'e3', 'e4'].map((id) => fixture.addEndpoint(id, crashing.run)));
  const statuses = [];
  for (let tries = 0; tries < 4; tries += 1) statuses.push((await post('/lookup/bad')).status);
  const { runs } = crashing.counted;
  expect([statuses, runs, (await post('/lookup/good')).status]).toEqual([
    [502, 502, 503, 503],
    3,
    200,
  ]);
});

// Guards against a request that waits for room although no endpoint may run it any more.
it('refuses a request that crashes endpoints at once while all are full', async () => {
  fixture = await createRouterFixture();
  for (const id of ['e1', 'e2', 'e3', 'e4']) await fixture.addEndpoint(id, crash);
  await post('/lookup/bad');
  await post('/lookup/bad');
  fixture.endpoints.listAll().forEach(({ record }) => {
    fixture.endpoints.merge({ ...record, sequence: record.sequence + 1, slots: 0 });
  });
  expect((await post('/lookup/bad')).status).toBe(503);
  const { refusal, waitedMs } = fixture.results.at(-1) ?? {};
  expect([refusal?.code, waitedMs]).toEqual([ResultCode.crashConvicted, undefined]);
});

// Guards against refusing requests because several endpoints are down that they never reached.
it('does not spend the retry budget on endpoints that refuse connections', async () => {
  fixture = await createRouterFixture({ retryExtra: 0 });
  unusedPorts.forEach((port) => fixture.announce(`closed-${port}`, port));
  await fixture.addEndpoint('e1', answer);
  const statuses = [];
  for (let tries = 0; tries < 4; tries += 1) statuses.push((await post('/lookup/1')).status);
  const sends = fixture.results.map((result) => result.sends.length);
  expect(Math.max(...sends)).toBeGreaterThan(1);
  expect(statuses).toEqual([200, 200, 200, 200]);
});

// Guards against more retries than the budget allows when attempts between them reached no endpoint.
it('spends the retry budget once an attempt has reached an endpoint', async () => {
  fixture = await createRouterFixture({ retryExtra: 0 });
  for (const id of ['e1', 'e2']) await fixture.addEndpoint(id, shed);
  expect((await post('/lookup/1')).status).toBe(503);
  expect(fixture.results[0]?.refusal?.code).toBe(ResultCode.retryBudgetSpent);
});

// Guards against telling callers to return at once while all endpoints are full.
it('refuses a request with a retry time after it waited for endpoints that stay full', async () => {
  fixture = await createRouterFixture();
  await fixture.addEndpoint('e1', answer);
  fixture.endpoints.listAll().forEach(({ record }) => {
    fixture.endpoints.merge({ ...record, sequence: record.sequence + 1, slots: 0 });
  });
  await post('/lookup/1');
  const { refusal, waitedMs } = fixture.results[0] ?? {};
  expect(waitedMs).toBeGreaterThan(0);
  expect([refusal?.message, refusal?.retryAfterMs]).toEqual([
    'all are full or cold {"full":1}; ',
    500,
  ]);
});

/** Ports on which nothing listens. */
const unusedPorts = [7, 9, 11];
