import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

/** With this limit four bodies of the largest size fit at a time. */
const memoryBytes = 4 * 1024 * 1024;
const largeBytes = 256 * 1024;
/** Pieces of a body for which memory is reserved in several steps. */
const pieceCount = 70_000;
const workMs = 150;

/** Guards against request bodies that fill the memory of a process, with all that it runs. */
describe('request bodies beyond the memory budget', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  const sockets: Socket[] = [];
  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    fixture.close();
  });

  const start = async () => {
    fixture = await createRouterFixture({ memoryBytes, maxBodyBytes: largeBytes });
    const arrived: unknown[] = [];
    const answer: RequestListener = (message, response) => {
      let size = 0;
      message.on('data', (chunk: Buffer) => {
        size += chunk.length;
      });
      message.once('end', () => {
        arrived.push(message.headers['x-id']);
        const headers = { 'x-id': message.headers['x-id'], 'x-signed': '1' };
        setTimeout(() => response.writeHead(200, headers).end(String(size)), workMs);
      });
    };
    // Together they have room for all requests of a test, so that only memory limits them.
    for (const id of ['e1', 'e2', 'e3']) await fixture.addEndpoint(id, answer);
    return arrived;
  };
  const send = async (id: string, bytes: number) => {
    const answer = await fetch(`${fixture.url}/order/${id}`, {
      ...{ method: 'POST', headers: { 'x-id': id }, body: 'x'.repeat(bytes) },
    });
    const text = await answer.text();
    return { id, status: answer.status, retryAfter: answer.headers.get('retry-after'), text };
  };

  it('wait, and are refused as not run when their wait is too long', async () => {
    const arrived = await start();
    const answers = await Promise.all(
      Array.from({ length: 8 }, (_, index) => send(`r${index}`, largeBytes)),
    );
    const served = answers.filter(({ status }) => status === 200);
    const refused = answers.filter(({ status }) => status !== 200);
    expect(served.length).toBeGreaterThanOrEqual(2);
    expect(served.every(({ text }) => text === String(largeBytes))).toBe(true);
    expect(refused.length).toBeGreaterThan(0);
    refused.forEach(({ id, status, retryAfter, text }) => {
      expect([status, retryAfter, arrived.includes(id)]).toEqual([503, '0.2', false]);
      expect(JSON.parse(text)).toMatchObject({ code: 2001, notRun: true });
    });
    expect(fixture.memory.largeBodies.readHeldBytes()).toBe(0);
  });

  it('do not hold up small ones', async () => {
    await start();
    const large = Promise.all(
      Array.from({ length: 8 }, (_, index) => send(`r${index}`, largeBytes)),
    );
    const small = await Promise.all(
      Array.from({ length: 10 }, (_, index) => send(`s${index}`, 100)),
    );
    expect(small.map(({ status }) => status)).toEqual(Array.from({ length: 10 }, () => 200));
    await large;
  });

  it.each([
    ['a length', `Content-Length: ${largeBytes}`],
    ['chunks', 'Transfer-Encoding: chunked'],
  ])('that never come, with %s: are refused at the deadline', async (_, header) => {
    await start();
    const { hostname, port } = new URL(fixture.url);
    const socket = connect(Number(port), hostname);
    sockets.push(socket);
    socket.write(
      `POST /lookup/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nx-deadline: 300\r\n${header}\r\n\r\n`,
    );
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    expect(bytes.toString().split('\r\n')[0]).toBe('HTTP/1.1 408 Request Timeout');
    await once(socket, 'close');
    expect(fixture.memory.largeBodies.readHeldBytes()).toBe(0);
  });

  it('in pieces of one byte: arrive whole', async () => {
    await start();
    const { hostname, port } = new URL(fixture.url);
    const socket = connect(Number(port), hostname);
    sockets.push(socket);
    socket.write(
      `POST /lookup/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: p\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(pieceCount)}0\r\n\r\n`,
    );
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    await expect.poll(() => text, { timeout: 5_000 }).toContain(String(pieceCount));
  });
});
