import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

const writeEvents = (...ids: number[]) => ids.map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');
const head = 'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\n';
const streamHead = `${head}Content-Type: text/event-stream\r\n\r\n`;
const errorText = 'engine out of memory';
const buildError = (status: number, ...headers: string[]) =>
  [`HTTP/1.1 ${status} No`, 'x-id: r1', 'Content-Length: 20', ...headers, '', errorText].join(
    '\r\n',
  );
const breakDelayMs = 20;
const deadlineMs = 1_000;

describe('a stream that broke off', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  afterEach(() => fixture.close());

  const end = (socket: Socket) => socket.end();
  const keep = () => {};

  /** Endpoints answer in the order in which requests arrive, each with its own bytes. */
  const readStream = async (answers: [string, (socket: Socket) => void][]) => {
    fixture = await createRouterFixture();
    let arrivals = 0;
    const answer = (socket: Socket): void => {
      const [bytes, stop] = answers[arrivals] ?? ['', end];
      arrivals += 1;
      socket.write(bytes);
      setTimeout(() => stop(socket), breakDelayMs);
    };
    for (const id of ['e1', 'e2', 'e3', 'e4']) await fixture.addRawEndpoint(id, answer);
    const reply = await fetch(`${fixture.url}/chat/1`, {
      ...{ method: 'POST', body: 'x' },
      headers: { 'x-id': 'r1', 'x-deadline': String(deadlineMs) },
    });
    let text = '';
    let hasEnded = true;
    try {
      const decoder = new TextDecoder();
      for await (const chunk of reply.body as unknown as AsyncIterable<Uint8Array>)
        text += decoder.decode(chunk);
    } catch {
      hasEnded = false;
    }
    return { text, hasEnded, arrivals };
  };

  const brokenStart: [string, (socket: Socket) => void] = [
    `${streamHead}${writeEvents(1, 2)}`,
    (socket) => socket.resetAndDestroy(),
  ];

  // Guards against an error's text or head within a stream, and against a stream that seems complete.
  it.each<[string, string, (socket: Socket) => void]>([
    ['an error', buildError(500), end],
    ['an error as events', buildError(500, 'Content-Type: text/event-stream'), end],
    ['an unknown path', buildError(404), end],
    ['a refusal without proof', buildError(503), end],
    ['a success without events', `${head}Content-Length: 2\r\n\r\nok`, keep],
    ['events without a signature', streamHead.replace('x-signed: 1\r\n', '') + writeEvents(3), end],
    ['events of another request', streamHead.replace('r1', 'r0') + writeEvents(3), end],
    ['half a head', 'HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Type: text/ev', end],
    ['half a head that stays', 'HTTP/1.1 200 OK\r\nx-id: r1\r\n', keep],
    ['bytes that are no answer', 'id: 3\ndata: 3\n\n', end],
    ['a stream that ends within an event', `${streamHead}id: 3\ndata: 3\n`, end],
    ['nothing', '', end],
  ])('gets nothing of a second answer that is %s, and is cut', async (_, bytes, stop) => {
    const { text, hasEnded } = await readStream([brokenStart, [bytes, stop]]);
    expect({ text, hasEnded }).toEqual({ text: writeEvents(1, 2), hasEnded: false });
  });

  // Guards against refusals that end a stream although another endpoint can go on with it.
  it('goes on after endpoints that refused it', async () => {
    const refusal = buildError(503, 'x-not-run: 1');
    const result = await readStream([
      brokenStart,
      [refusal, end],
      [refusal, end],
      [`${streamHead}${writeEvents(3, 4)}`, end],
    ]);
    expect(result).toEqual({ text: writeEvents(1, 2, 3, 4), hasEnded: true, arrivals: 4 });
  });

  // Guards against more runs than the route allows.
  it('is cut when the second answer breaks off too', async () => {
    const result = await readStream([
      brokenStart,
      [`${streamHead}${writeEvents(3)}id: 4\nda`, (socket) => socket.resetAndDestroy()],
      [`${streamHead}${writeEvents(4)}`, end],
    ]);
    expect(result).toEqual({ text: writeEvents(1, 2, 3), hasEnded: false, arrivals: 2 });
  });

  // Guards against events that the caller receives twice.
  it.each([
    ['begins again', writeEvents(1, 2, 3, 4)],
    ['repeats an event', writeEvents(3, 3, 4)],
    ['goes back', writeEvents(3, 4, 2)],
  ])('is cut at the first repeated event when the second answer %s', async (_, events) => {
    const { text, hasEnded } = await readStream([brokenStart, [`${streamHead}${events}`, end]]);
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
    expect(ids).toEqual([...new Set(ids)].sort());
    expect(hasEnded).toBe(false);
  });
});

describe('an answer whose head is cut off', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  afterEach(() => fixture.close());

  const heads = [
    'HTTP/1.1',
    'HTTP/1.1 200',
    'HTTP/1.1 200 OK\r\n',
    'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: r1\r\nContent-Le',
    'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: r1\r\nContent-Length: 1',
    'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: r1\r\nContent-Length: 12\r\n',
    'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: r1\r\nContent-Length: 0\r\n\r',
    'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n',
    'HTTP/1.1 200 OK\r\nx-signed: 1\r\nx-id: r1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n',
  ];
  const cases = heads.flatMap((text) =>
    ['/order/1', '/chat/1'].flatMap((path) =>
      (['end', 'resetAndDestroy'] as const).map((how) => [path, how, text] as const),
    ),
  );

  // Guards against a success with an empty or short body, framed as whole.
  it.each(cases)('is no success: %s, %s, %j', async (path, how, text) => {
    fixture = await createRouterFixture();
    await fixture.addRawEndpoint('e1', (socket) => socket.write(text, () => socket[how]()));
    const reply = await fetch(`${fixture.url}${path}`, {
      ...{ method: 'POST', body: 'x', headers: { 'x-id': 'r1', 'x-deadline': String(deadlineMs) } },
    });
    expect(reply.status).toBe(502);
  });
});
