import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

/** Guards against relaying an answer as complete that its endpoint never finished. */
describe('answers that are cut off', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  afterEach(() => fixture.close());

  const head = 'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\n';
  const reset = (socket: Socket) => setTimeout(() => socket.resetAndDestroy(), 20);
  const end = (socket: Socket) => setTimeout(() => socket.end(), 20);
  const cases: [string, string, (socket: Socket) => unknown][] = [
    ['a short body, reset', `${head}Content-Length: 9\r\n\r\nabc`, reset],
    ['a short body, closed', `${head}Content-Length: 9\r\n\r\nabc`, end],
    [
      'chunks without an end, reset',
      `${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`,
      reset,
    ],
    ['chunks without an end, closed', `${head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`, end],
    ['no length, reset', `${head}\r\nabc`, reset],
    ['no length and Connection: close, reset', `${head}Connection: close\r\n\r\nabc`, reset],
    ['no length, reset at once', `${head}\r\nabc`, (socket) => socket.resetAndDestroy()],
  ];

  it.each(cases)('%s: reports an unknown outcome to the caller', async (_, text, stop) => {
    fixture = await createRouterFixture();
    await fixture.addRawEndpoint('e1', (socket) => socket.write(text, () => stop(socket)));
    const answer = await fetch(`${fixture.url}/order/1`, {
      method: 'POST',
      headers: { 'x-id': 'r1' },
      body: 'x',
    });
    expect(answer.status).toBe(502);
    expect(fixture.results.map(({ outcome }) => outcome)).toEqual(['failed']);
  });

  it('accepts an answer without a length that ends with its connection as complete', async () => {
    fixture = await createRouterFixture();
    await fixture.addRawEndpoint('e1', (socket) => socket.end(`${head}\r\nabc`));
    const answer = await fetch(`${fixture.url}/order/1`, {
      method: 'POST',
      headers: { 'x-id': 'r1' },
      body: 'x',
    });
    expect([answer.status, await answer.text()]).toEqual([200, 'abc']);
  });
});
