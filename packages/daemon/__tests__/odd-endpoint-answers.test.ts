import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { openAgent, openEndpoint } from '@vanillarelay/daemon';
import { afterEach, describe, expect, it } from 'vitest';
import { requestTimeline } from '../src/operator/request-timeline.js';

let server: Server;
const sockets = new Set<Socket>();
afterEach(() => {
  server.close();
  sockets.forEach((socket) => socket.destroy());
  sockets.clear();
});

/** Starts an endpoint that answers the first bytes of each connection. */
const listen = async (answer: (socket: Socket) => void): Promise<string> => {
  server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.resume();
      answer(socket);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};
const listenWith = (text: string): Promise<string> =>
  listen((socket) => socket.end(Buffer.from(text, 'latin1')));

const createSignal = () => AbortSignal.timeout(5_000);

/** Runs a request at the endpoint; resolves with status and body, or why there is no whole answer. */
const run = async (address: string, bodyBytes = 1): Promise<string> => {
  const body = Buffer.alloc(bodyBytes, 'x');
  const request = { method: 'POST', path: '/orders', headers: { 'x-id': 'r1' }, body };
  const answer = await openEndpoint(address)
    .run(request, createSignal())
    .catch(() => undefined);
  if (!answer) return 'no answer';
  try {
    const chunks: Uint8Array[] = [];
    for await (const chunk of answer.body) chunks.push(chunk);
    return `${answer.status} ${Buffer.concat(chunks).toString('latin1')}`;
  } catch {
    return 'cut off';
  }
};

const head = 'HTTP/1.1 200 OK\r\n';

describe('an answer with an odd line', () => {
  const lines = [
    ...['X Odd: 1', 'X\tOdd: 1', ' X-Odd: 1', 'X-Odd : 1', 'X\0Odd: 1', 'X\u0001Odd: 1'],
    ...['X\u007fOdd: 1', 'X\rOdd: 1', '\nX-Odd: 1', 'X-Odd: 1\r\n\rX: 2', 'X-Odd', ': 1', ' '],
    ...['Content-Length : 1', 'Transfer-Encoding : chunked', 'X-Odd: a\0b', 'X-Odd: 1\r\n folded'],
  ];
  // Guards against a release of undici that reads leniently: its parser is that of the lock file.
  it.each(lines)('is read by no client of an endpoint, agent or entry: %j', async (line) => {
    const address = await listenWith(`${head}${line}\r\nContent-Length: 2\r\n\r\n{}`);
    const endpoint = openEndpoint(address);
    const agent = openAgent(address, { key: 'peer-key-0123456789' });
    const calls = [
      endpoint.readHealth(createSignal()),
      endpoint.exportCache('chat'),
      agent.readContact(1, createSignal()),
      requestTimeline(address, 'operator-key', 1_000),
    ];
    const results = await Promise.allSettled(calls);
    expect(results.map(({ status }) => status)).toEqual(calls.map(() => 'rejected'));
    expect(await run(address)).toBe('no answer');
  });
});

describe('an answer with an odd status', () => {
  // Guards against a status that callers can't read as one.
  it.each(['000', '00', '099', '1', '600', '999', '100', '101', '199', 'abc', '20', '0200'])(
    'is no answer: %s',
    async (status) => {
      const address = await listenWith(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nok`);
      expect(await run(address)).toBe('no answer');
    },
  );

  // Guards against refusing an answer whose status is one.
  it.each(['200', '203', '299', '404', '500', '599'])('is relayed: %s', async (status) => {
    const address = await listenWith(`HTTP/1.1 ${status} Any\r\nContent-Length: 2\r\n\r\nok`);
    expect(await run(address)).toBe(`${status} ok`);
  });
});

describe('an answer in a transfer coding', () => {
  const answer = (coding: string): string =>
    `${head}Transfer-Encoding: ${coding}\r\n\r\n2\r\nok\r\n0\r\n\r\n`;

  // Guards against a body in a coding that nobody asked for and that the caller is not told of.
  it.each([
    ...['gzip', 'identity', '', 'gzip, chunked', 'chunked, gzip', 'chunked, chunked'],
    ...[
      'chunked\r\nTransfer-Encoding: gzip',
      'chunked\r\nTransfer-Encoding:',
      'chunked\u00a0',
      'chunked\t',
    ],
  ])('is no answer unless it is chunked: %j', async (coding) => {
    expect(await run(await listenWith(answer(coding)))).toBe('no answer');
  });

  // Guards against refusing an answer in chunks.
  it.each(['chunked', 'Chunked', ' chunked ', '\tchunked'])('is relayed: %j', async (coding) => {
    expect(await run(await listenWith(answer(coding)))).toBe('200 ok');
  });
});

describe.each([
  ['a small request', 1],
  ['a long upload', 240_000],
])('an answer without a length to %s', (_, bodyBytes) => {
  const part = `${head}X-Id: r1\r\n\r\npart`;
  const after = (ms: number, end: (socket: Socket) => void) => (socket: Socket) =>
    setTimeout(() => end(socket), ms);
  const reset = (socket: Socket) => socket.resetAndDestroy();
  const endAndReset = (socket: Socket) => {
    socket.end();
    setTimeout(() => reset(socket), 20);
  };
  const isUpload = bodyBytes > 1;

  // Guards against a part of an answer that looks complete, since the endpoint ended in the middle.
  it.each([
    ['a reset', reset],
    ['a reset 5 ms later', after(5, reset)],
    ['a reset 150 ms later', after(150, reset)],
    // Of a small request nothing is unread, so nothing shows that this is no ordinary end.
    ...(isUpload ? ([['its end and a reset 20 ms later', endAndReset]] as const) : []),
  ] as const)('is cut off after %s', async (__, end) => {
    const address = await listen((socket) => {
      if (isUpload) socket.pause();
      socket.write(part, () => end(socket));
    });
    expect(await run(address, bodyBytes)).toMatch(/^(cut off|no answer)$/);
  });

  // Guards against refusing the answer of an endpoint that ends its connection behind it.
  it('is whole at the end of its connection', async () => {
    expect(await run(await listenWith(part), bodyBytes)).toBe('200 part');
  });
});

// Guards against a connection that ends between two requests and fails the second one.
it('opens another connection after one that its endpoint has ended', async () => {
  const address = await listen((socket) => {
    socket.write(`${head}Content-Length: 2\r\n\r\nok`);
    setTimeout(() => socket.end(), 10);
  });
  const endpoint = openEndpoint(address);
  const request = { method: 'POST', path: '/orders', headers: {}, body: Buffer.from('x') };
  const bodies: string[] = [];
  for (let count = 0; count < 5; count += 1) {
    const answer = await endpoint.run(request, createSignal());
    for await (const chunk of answer.body) bodies.push(Buffer.from(chunk).toString());
    await new Promise((resolve) => {
      setTimeout(resolve, 40);
    });
  }
  expect(bodies).toEqual(['ok', 'ok', 'ok', 'ok', 'ok']);
});
