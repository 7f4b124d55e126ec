import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

const deadlineMs = 1_500;
/** Time after the caller's result within which the router must have closed the connection. */
const closeMs = 500;
/** Bytes that a router may read of an answer that it does not relay, with the socket buffers. */
const maxReadBytes = 4 * 1024 * 1024;

interface Flood {
  sentBytes: number;
  isClosed: boolean;
}

/** Sends `start`, then `bytes` again and again until the other side closes the connection. */
function sendEndlessly(socket: Socket, start: string, bytes: string, flood: Flood): void {
  const chunk = Buffer.from(bytes.repeat(Math.ceil(16_384 / bytes.length)));
  const send = (): void => {
    if (socket.destroyed) return;
    flood.sentBytes += chunk.length;
    socket.write(chunk, (error) => {
      if (!error) setImmediate(send);
    });
  };
  socket.on('close', () => {
    flood.isClosed = true;
  });
  socket.write(start, send);
}

const head = 'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\n';
const chunk = '10\r\n0123456789abcdef\r\n';
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';
const eventStream = `${head}Content-Type: text/event-stream\r\n`;

/** Answers that are never relayed, so the router must stop reading them early. */
const unusable: [string, string, string, string][] = [
  ['header lines', '/order/1', 'HTTP/1.1 200 OK\r\n', 'x-a: 0123456789abcdef\r\n'],
  ['one header line', '/order/1', 'HTTP/1.1 200 OK\r\nx-a: ', '0123456789abcdef'],
  ['blank lines before the head', '/order/1', '', '\r\n'],
  ['informational heads', '/order/1', '', 'HTTP/1.1 102 Processing\r\n\r\n'],
  ['bytes that are no head', '/order/1', '', 'no answer '],
  ['bytes that are no head, to a stream', '/chat/1', '', 'no answer '],
  ['a body of an answer that is not signed', '/order/1', `HTTP/1.1 200 OK\r\n${chunked}`, chunk],
  ['a body of a misdirected answer', '/order/1', `HTTP/1.1 421 No\r\n${chunked}`, chunk],
  [
    'a body of an answer that has not run',
    '/order/1',
    `HTTP/1.1 503 No\r\nx-not-run: 1\r\n${chunked}`,
    chunk,
  ],
  ['a body of an error to a stream', '/chat/1', `HTTP/1.1 503 No\r\nx-not-run: 1\r\n\r\n`, chunk],
  ['one event', '/chat/1', `${eventStream}\r\ndata: `, '0123456789abcdef'],
  ['one event in chunks', '/chat/1', `${eventStream}${chunked}`, chunk],
  [
    'bytes after the last chunk',
    '/order/1',
    `${head}${chunked}${chunk}0\r\n`,
    'x-a: 0123456789abcdef\r\n',
  ],
  ['a chunk extension', '/order/1', `${head}${chunked}1;a=`, '0123456789abcdef'],
];

/** Guards against endpoints whose bytes never end: they must not hold memory or a connection. */
describe('answers without an end', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  afterEach(() => fixture.close());

  const request = async (path: string, start: string, bytes: string) => {
    const flood: Flood = { sentBytes: 0, isClosed: false };
    fixture = await createRouterFixture();
    await fixture.addRawEndpoint('e1', (socket) => sendEndlessly(socket, start, bytes, flood));
    const answer = await fetch(`${fixture.url}${path}`, {
      method: 'POST',
      headers: { 'x-id': 'r1', 'x-deadline': String(deadlineMs) },
      body: 'x',
    });
    const body = await answer.text().catch((error: Error) => error.name);
    await new Promise((resolve) => {
      setTimeout(resolve, closeMs);
    });
    return { status: answer.status, body, flood };
  };

  it.each(unusable)('%s: stops reading and ends the request', async (_, path, start, bytes) => {
    const { status, flood } = await request(path, start, bytes);
    expect(status).toBeGreaterThanOrEqual(500);
    expect(flood.isClosed).toBe(true);
    expect(flood.sentBytes).toBeLessThan(maxReadBytes);
    expect(fixture.results).toHaveLength(1);
  });

  it.each([
    ['a chunked body', `${head}${chunked}`, chunk],
    ['a body without a length', `${head}\r\n`, '0123456789abcdef'],
  ])('%s: is broken off at the deadline', async (_, start, bytes) => {
    const { body, flood } = await request('/lookup/1', start, bytes);
    expect(body).toBe('TypeError');
    expect(flood.isClosed).toBe(true);
    expect(fixture.results.map(({ outcome }) => outcome)).toEqual(['brokenOff']);
  });

  // Bytes after a complete answer belong to no request; the next one must not get them.
  it('bytes after a complete answer: close the connection', async () => {
    const start = `${head}Content-Length: 2\r\n\r\nok`;
    const { status, body, flood } = await request('/order/1', start, 'HTTP/1.1 200 OK\r\n');
    expect([status, body]).toEqual([200, 'ok']);
    expect(flood.isClosed).toBe(true);
    expect(flood.sentBytes).toBeLessThan(maxReadBytes);
  });
});
