import { once } from 'node:events';
import { createServer, request, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { FleetPeer } from '@vanillarelay/fleet';
import { afterEach, expect, it } from 'vitest';
import { createFleetServer } from '../src/transport/create-fleet-server.js';
import { openFleetPeer } from '../src/transport/open-fleet-peer.js';

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

async function listen(server: ReturnType<typeof createServer>): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

const largeText = Array.from({ length: 2_000 }, (_, index) => `route ${index}`).join();
const echo = async (message: unknown) => message as never;
const handlers = { propose: echo, raft: {} } as unknown as FleetPeer;

// Guards against large messages that hold a slow link longer than they need.
it('compresses large messages in both directions and leaves small ones as they are', async () => {
  const port = await listen(createFleetServer({ handlers, formatMetrics: () => '' }));
  const sizes: Record<string, number[]> = { sent: [], received: [] };
  const peer = openFleetPeer({
    address: `127.0.0.1:${port}`,
    recordBytes: (direction, bytes) => sizes[direction]?.push(bytes),
  });
  const { signal } = new AbortController();
  for (const dataCentre of [largeText, 'dc-1']) {
    const command = { type: 'takeOutDataCentre', dataCentre } as never;
    expect(await peer.propose(command, signal)).toEqual({ type: 'takeOutDataCentre', dataCentre });
  }
  const small = JSON.stringify({ type: 'takeOutDataCentre', dataCentre: 'dc-1' }).length;
  expect(sizes).toMatchObject({
    sent: [expect.any(Number), small],
    received: [expect.any(Number), small],
  });
  expect(sizes.sent?.[0]).toBeLessThan(largeText.length / 2);
  expect(sizes.received?.[0]).toBeLessThan(largeText.length / 2);
});

// Guards against a message whose compressed bytes are damaged, or inflate without a limit.
it('refuses a compressed message that cannot be read', async () => {
  const port = await listen(createFleetServer({ handlers, formatMetrics: () => '' }));
  const call = request({
    ...{ host: '127.0.0.1', port, path: '/propose', method: 'POST' },
    headers: { 'content-encoding': 'deflate', 'content-length': 4 },
  });
  call.end('none');
  const [answer] = (await once(call, 'response')) as [IncomingMessage];
  expect(answer.statusCode).toBe(500);
});

// Guards against a daemon whose answer has no end: it must hold neither the caller nor a connection.
it('closes the connection of an answer that is too large', async () => {
  let isClosed = false;
  const chunk = Buffer.alloc(256 * 1024, 'x');
  const server = createServer((message, response) => {
    message.resume();
    response.once('close', () => {
      isClosed = true;
    });
    const send = (): void => {
      if (!response.destroyed) response.write(chunk, () => setImmediate(send));
    };
    send();
  });
  const port = await listen(server);
  const peer = openFleetPeer({ address: `127.0.0.1:${port}`, recordBytes: () => {} });
  await expect(peer.readIndex(new AbortController().signal)).rejects.toMatchObject({ code: 1001 });
  await expect.poll(() => isClosed).toBe(true);
});
