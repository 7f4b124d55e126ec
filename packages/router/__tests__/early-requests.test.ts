import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

/** Guards against refusals, which make requests late, while a daemon that starts finds its hub. */
describe('requests that reach a daemon before the state is in force', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  const stop = new AbortController();
  afterEach(() => fixture.close());

  const start = async () => {
    fixture = await createRouterFixture({ isConfigured: false, stopSignal: stop.signal });
    const arrived: unknown[] = [];
    await fixture.addEndpoint('e1', (message, response) => {
      arrived.push(message.headers['x-id']);
      message.resume();
      response.writeHead(200, { 'x-id': message.headers['x-id'], 'x-signed': '1' }).end('done');
    });
    return arrived;
  };
  const send = async (id: string, deadlineMs: number) => {
    const answer = await fetch(`${fixture.url}/order/${id}`, {
      ...{ method: 'POST', headers: { 'x-id': id, 'x-deadline': String(deadlineMs) }, body: 'x' },
    });
    await answer.text();
    return [id, answer.status];
  };
  /** Resolves once the daemon has read the heads of this many requests. */
  const waitForRequests = async (count: number) => {
    for (let seen = 0; seen < count; seen += 1) await once(fixture.front, 'request');
  };

  it('are served once it is', async () => {
    const arrived = await start();
    const read = waitForRequests(3);
    const answers = [send('long', 60_000), send('short', 20_000), send('middle', 40_000)];
    await read;
    fixture.configure();
    expect((await Promise.all(answers)).map(([, status]) => status)).toEqual([200, 200, 200]);
    expect(arrived.sort()).toEqual(['long', 'middle', 'short']);
  });

  it('are refused as not run, with a short retry time, when it takes too long', async () => {
    const arrived = await start();
    const answer = await fetch(`${fixture.url}/order/a`, {
      ...{ method: 'POST', headers: { 'x-id': 'a', 'x-deadline': '100' }, body: 'x' },
    });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers.get('retry-after'))).toBeGreaterThan(0);
    expect(Number(answer.headers.get('retry-after'))).toBeLessThanOrEqual(0.5);
    expect(arrived).toEqual([]);
  });

  it('are not run when their caller leaves meanwhile', async () => {
    const arrived = await start();
    const read = waitForRequests(1);
    const { hostname, port } = new URL(fixture.url);
    const socket = connect(Number(port), hostname);
    const head =
      'POST /order/a HTTP/1.1\r\nhost: 127.0.0.1\r\nx-id: a\r\ncontent-length: 1\r\n\r\n';
    socket.write(`${head}x`);
    await read;
    socket.destroy();
    while (fixture.results.length === 0) await wait(1);
    expect(fixture.results.map(({ outcome }) => outcome)).toEqual(['callerLeft']);
    fixture.configure();
    expect(await send('b', 20_000)).toEqual(['b', 200]);
    expect(arrived).toEqual(['b']);
  });

  it('are refused at once when the process stops', async () => {
    const arrived = await start();
    const read = waitForRequests(1);
    const answer = send('a', 60_000);
    await read;
    stop.abort();
    expect(await answer).toEqual(['a', 503]);
    expect(arrived).toEqual([]);
  });
});
