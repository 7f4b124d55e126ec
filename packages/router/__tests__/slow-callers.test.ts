import { connect, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

const deadlineMs = 600;
const answerBytes = 8 * 1024 * 1024;
const event = `id: 1\ndata: ${'x'.repeat(60_000)}\n\n`;
const headers = { 'x-id': 'r1', 'x-signed': '1' };

/** Guards against callers that do not read: they must not hold a request or memory without end. */
describe('callers that do not read', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  const sockets: Socket[] = [];
  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    fixture.close();
  });

  const send = (path: string): void => {
    const { hostname, port } = new URL(fixture.url);
    const socket = connect(Number(port), hostname).pause();
    socket.on('error', () => {});
    sockets.push(socket);
    const lines = ['Host: 127.0.0.1', 'x-id: r1', `x-deadline: ${deadlineMs}`, 'Content-Length: 0'];
    socket.write(`POST ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`);
  };

  it('a long answer: is broken off at the deadline', async () => {
    fixture = await createRouterFixture();
    await fixture.addEndpoint('e1', (_, response) => {
      response.writeHead(200, headers);
      const sendMore = (): void => {
        if (!response.destroyed) response.write(Buffer.alloc(answerBytes), sendMore);
      };
      sendMore();
    });
    send('/order/1');
    await expect
      .poll(() => fixture.results.map(({ outcome }) => outcome), { timeout: deadlineMs * 4 })
      .toEqual(['brokenOff']);
    expect(fixture.memory.answers.readHeldBytes()).toBe(0);
  });

  it('a stream: is broken off at the deadline', async () => {
    fixture = await createRouterFixture();
    await fixture.addEndpoint('e1', (_, response) => {
      response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
      let count = 0;
      const sendMore = (): void => {
        count += 1;
        const next = event.replace('id: 1', `id: ${count}`);
        if (!response.destroyed) response.write(next, () => setImmediate(sendMore));
      };
      sendMore();
    });
    send('/chat/1');
    await expect
      .poll(() => fixture.results.map(({ outcome }) => outcome), { timeout: deadlineMs * 4 })
      .toEqual(['brokenOff']);
  });

  it('beyond the budget: answers are passed on instead of held', async () => {
    fixture = await createRouterFixture({ memoryBytes: 1024 * 1024 });
    await fixture.addEndpoint('e1', (_, response) => {
      response.writeHead(200, { ...headers, 'content-length': 100_000 });
      response.write(Buffer.alloc(60_000));
      setTimeout(() => response.end(Buffer.alloc(40_000)), 50);
    });
    const answer = await fetch(`${fixture.url}/lookup/1`, { headers: { 'x-id': 'r1' } });
    expect([answer.status, (await answer.arrayBuffer()).byteLength]).toEqual([200, 100_000]);
    expect(fixture.memory.answers.readHeldBytes()).toBe(0);
  });
});
