import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ResultCode } from '@vanillarelay/core';
import { afterEach, expect, it } from 'vitest';
import { callControl } from '../src/context/call-control.js';

let server: Server;
afterEach(() => {
  server.close();
  server.closeAllConnections();
});

/** Starts a stand-in for a router daemon; it answers nothing at `/silent`. */
const startDaemon = async (): Promise<string> => {
  server = createServer(async (request, response) => {
    if (request.url === '/silent') return;
    const chunks = await request.toArray();
    const body = Buffer.concat(chunks as Buffer[]).toString();
    response.writeHead(409).end(`${request.method} ${request.url} ${body}`);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

// Guards against a call that is sent otherwise than given, and an answer that looks like a failure.
it('returns status and text of any answer', async () => {
  const address = await startDaemon();
  const posted = await callControl(address, { method: 'POST', path: '/rollouts', body: '{}' });
  const read = await callControl(address, { method: 'GET', path: '/rollouts/desk' });
  expect([posted, read]).toEqual([
    { status: 409, body: 'POST /rollouts {}' },
    { status: 409, body: 'GET /rollouts/desk ' },
  ]);
});

// Guards against a daemon without an answer that keeps the command from calling the next one.
it('fails with connectionFailed without an answer', async () => {
  const address = await startDaemon();
  const silent = callControl(address, { method: 'GET', path: '/silent' });
  await expect(silent).rejects.toMatchObject({ code: ResultCode.connectionFailed });
  server.closeAllConnections();
  server.close();
  await once(server, 'close');
  const closed = callControl(address, { method: 'GET', path: '/rollouts/desk' });
  await expect(closed).rejects.toMatchObject({ code: ResultCode.connectionFailed });
});

// Guards against an answer that is no HTTP and is printed as the state of the fleet.
it.each([
  ...['X Odd: 1', ' X-Odd: 1', 'X-Odd: 1\r\n folded', 'X-Odd : 1', 'X\u0001Odd: 1', ': 1'],
  ...['\nX-Odd: 1', 'X-Odd: a\0b', 'Content Length: 1'],
])('fails with connectionFailed when the answer has the line %j', async (line) => {
  const answer = `HTTP/1.1 200 OK\r\nX-Id: r1\r\n${line}\r\nContent-Length: 2\r\n\r\n{}`;
  server = createServer((_, response) => {
    response.socket?.end(Buffer.from(answer, 'latin1'));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  await expect(callControl(address, { method: 'GET', path: '/' })).rejects.toMatchObject({
    code: ResultCode.connectionFailed,
  });
});
