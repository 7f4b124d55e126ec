import { once } from 'node:events';
import type { IncomingMessage, request, RequestOptions } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { openFleetPeer } from '../src/transport/open-fleet-peer.js';

const parser = vi.hoisted(() => ({ isLenient: false }));
// How strictly a parser reads differs between releases of Node; the option makes it lenient.
vi.mock('node:http', async (importOriginal) => {
  const http = await importOriginal<{ request: typeof request }>();
  const call = (options: RequestOptions, listener: (answer: IncomingMessage) => void) =>
    http.request({ ...options, insecureHTTPParser: parser.isLenient }, listener);
  return { ...http, request: call };
});

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

/** Opens a peer that answers each call with these bytes and ends the connection. */
const openPeer = async (answer: string) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => socket.end(Buffer.from(answer, 'latin1')));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  const { port } = server.address() as AddressInfo;
  return openFleetPeer({ address: `127.0.0.1:${port}`, recordBytes: () => {} });
};

const body = '{"index":7}';
const buildAnswer = (line: string): string =>
  `HTTP/1.1 200 OK\r\n${line}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
const buildTrailer = (line: string): string =>
  `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n${body}\r\n0\r\n${line}\r\n\r\n`;

describe.each([
  ['the parser of this Node', false],
  ['a lenient parser', true],
])('with %s', (_, isLenient) => {
  const call = async (answer: string): Promise<unknown> => {
    parser.isLenient = isLenient;
    const peer = await openPeer(answer);
    return peer.readIndex(new AbortController().signal);
  };

  // Guards against a message of a process that is no daemon, or no longer a sound one.
  it.each([
    ...[' X-Odd: 1', 'X-Odd: 1\r\n folded', 'X-Odd: 1\nX-Odd: 2', 'X-Odd: a\0b', 'X-Odd: a\u007fb'],
    ...['Connection : close', 'X Odd: 1', 'X-Odd : 1', 'X\u0001Odd: 1', ' '],
  ])('believes no answer with the line %j', async (line) => {
    await expect(call(buildAnswer(line))).rejects.toThrow();
    await expect(call(buildTrailer(line))).rejects.toThrow();
    await expect(
      call(`HTTP/1.1 103 Early\r\n${line}\r\n\r\n${buildAnswer('A: 1')}`),
    ).rejects.toThrow();
  });

  // Guards against refusing the answer of a daemon that keeps to the protocol.
  it.each(['X-Odd:', 'X-Odd: \u0080\u00ff', 'Connection: close'])(
    'reads an answer with the line %j',
    async (line) => {
      expect(await call(buildAnswer(line))).toEqual({ index: 7 });
      expect(await call(buildTrailer(line))).toEqual({ index: 7 });
    },
  );
});
