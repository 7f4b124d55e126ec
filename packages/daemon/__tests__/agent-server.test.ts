import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  toRefusal,
  type AgentPeer,
  type DispatchReply,
  type DispatchRequest,
  type EngineOrder,
} from '@vanillarelay/core';
import { createAgentServer, openAgent, openEndpoint } from '@vanillarelay/daemon';
import { afterEach, expect, it } from 'vitest';

const key = 'peer-key-0123456789';
const servers: Server[] = [];
const head = { stateVersion: 1, at: '00000000001000.00000' };
const createSignal = () => new AbortController().signal;

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
});

const listen = async (server: Server): Promise<string> => {
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Starts an agent's server whose handlers record their calls. */
async function startAgent(answer: (signal: AbortSignal) => AsyncIterable<Uint8Array>) {
  const calls: string[] = [];
  const unauthorized: string[] = [];
  const handlers = new Proxy({} as AgentPeer, {
    get:
      (_, name) =>
      async (request: unknown, ...rest: unknown[]) => {
        calls.push(`${String(name)} ${JSON.stringify(request)}`);
        const reply = {
          ...head,
          type: 'answer',
          status: 200,
          headers: { x: 'ü' },
          body: answer(rest.at(-1) as AbortSignal),
        };
        return name === 'dispatch' || name === 'resume' ? reply : undefined;
      },
  });
  const server = createAgentServer({
    handlers,
    peerKeys: [key],
    listTimeline: () => [],
    reportUnauthorized: (path) => unauthorized.push(path),
  });
  return { calls, unauthorized, address: await listen(server) };
}

async function* yieldChunks(...chunks: string[]) {
  for (const chunk of chunks) yield Buffer.from(chunk);
}

const request = {
  ...head,
  requestId: 'r',
  attemptId: 'a',
  account: 'account',
  service: 'reports',
  kind: 'chat',
  idempotent: true,
  mustArrive: false,
  priority: 5,
  remainingMs: 1_000,
  chat: 'चैट',
  resumable: false,
  takeOver: false,
  bodyHash: 'h',
  fingerprint: 'f',
  method: 'POST',
  path: '/v1',
  headers: {},
  body: Buffer.from('body'),
} as unknown as DispatchRequest;

const readText = async (reply: DispatchReply): Promise<string> => {
  let text = '';
  try {
    if (reply.type === 'answer')
      for await (const chunk of reply.body) text += Buffer.from(chunk).toString();
  } catch (error) {
    text += `<${toRefusal(error).code}>`;
  }
  return text;
};

// Guards against clients without a key and peers with malformed messages that reach a handler.
it('calls no handler without a key or with a malformed head', async () => {
  const { calls, unauthorized, address } = await startAgent(() => yieldChunks());
  const { body, ...validHead } = request;
  const send = async (path: string, headers: Record<string, string>) => {
    const { status } = await fetch(`http://${address}${path}`, {
      method: 'POST',
      headers,
      body: 'b',
    });
    return status;
  };
  const paths = ['dispatch', 'resume', 'placement', 'cancel', 'cache', 'contact', 'timeline'];
  const statuses = new Set<number>();
  for (const path of paths) {
    statuses.add(await send(`/relay/${path}`, {}));
    statuses.add(
      await send(`/relay/${path}`, { 'x-relay-key': `${key}x`, 'x-relay-request': '{}' }),
    );
  }
  const heads: unknown[] = [
    {},
    [],
    null,
    7,
    { ...validHead, priority: 10 },
    { ...validHead, method: 'CONNECT' },
    { ...validHead, extra: 1 },
    { ...validHead, path: 'http://elsewhere/' },
    { ...validHead, attemptId: 'a'.repeat(257) },
    { ...validHead, remainingMs: 1e12 },
    {
      ...validHead,
      headers: Object.fromEntries(Array.from({ length: 101 }, (_, i) => [`h${i}`, ''])),
    },
  ];
  const malformed: number[] = [
    await send('/relay/dispatch', { 'x-relay-key': key }),
    await send('/relay/dispatch', { 'x-relay-key': key, 'x-relay-request': '{' }),
  ];
  for (const value of heads) {
    const text = JSON.stringify(value).replace(/[^\x20-\x7e]/g, '?');
    for (const path of paths.slice(0, 5)) {
      if (path !== 'dispatch' && value !== heads[0]) continue;
      malformed.push(await send(`/relay/${path}`, { 'x-relay-key': key, 'x-relay-request': text }));
    }
  }
  malformed.push(
    await send('/relay/__proto__', { 'x-relay-key': key }),
    await send('/toString', { 'x-relay-key': key }),
  );
  expect([[...statuses], unauthorized.length, malformed.join(' '), calls]).toMatchInlineSnapshot(`
    [
      [
        401,
      ],
      14,
      "400 400 400 400 400 400 400 400 400 400 400 400 400 400 400 400 400 404 404",
      [],
    ]
  `);
});

// Guards against messages that are altered in transit, and against an interrupted answer that looks
// complete.
it('transfers requests and answers and reports an interrupted answer', async () => {
  async function* yieldThenThrow() {
    yield* yieldChunks('whole ');
    throw new Error('broken');
  }
  let body = () => yieldChunks('first ', 'second') as AsyncIterable<Uint8Array>;
  const { calls, address } = await startAgent(() => body());
  const client = openAgent(address, { key });
  const reply = await client.dispatch(request, createSignal());
  const texts = [await readText(reply)];
  body = yieldThenThrow;
  texts.push(await readText(await client.resume('stream' as never, 3, createSignal())));
  await client.announcePlacement({
    service: 's',
    chat: 'a/b',
    holder: 'h',
    incarnation: 1,
    sequence: 2,
  } as never);
  await client.importCache(
    { service: 's', chat: 'a/b', tokens: 5 } as never,
    Buffer.from('cache'),
    createSignal(),
  );
  expect([texts, reply.type === 'answer' && reply.headers, calls.map((call) => call.slice(0, 64))])
    .toMatchInlineSnapshot(`
    [
      [
        "first second",
        "whole <4002>",
      ],
      {
        "x": "ü",
      },
      [
        "dispatch {"requestId":"r","attemptId":"a","account":"account","s",
        "resume "stream"",
        "announcePlacement {"service":"s","chat":"a/b","holder":"h","inca",
        "importCache {"service":"s","chat":"a/b","tokens":5}",
      ],
    ]
  `);
});

// Guards against an engine that keeps computing for a caller whose connection is closed.
it('aborts the signal of a dispatch when its connection closes', async () => {
  let handleAbort = () => {};
  const aborted = new Promise<void>((resolve) => {
    handleAbort = resolve;
  });
  async function* writeSlowly(signal: AbortSignal) {
    signal.addEventListener('abort', handleAbort);
    yield* yieldChunks('first');
    await aborted;
  }
  const { address } = await startAgent(writeSlowly);
  const controller = new AbortController();
  const reply = await openAgent(address, { key }).dispatch(request, controller.signal);
  if (reply.type !== 'answer') throw new Error('refused');
  const chunks = reply.body[Symbol.asyncIterator]();
  const first = await chunks.next();
  controller.abort();
  await aborted;
  const rest = await chunks.next().catch((error: unknown) => toRefusal(error).code);
  expect([Buffer.from(first.value as Uint8Array).toString(), rest]).toMatchInlineSnapshot(`
    [
      "first",
      4002,
    ]
  `);
});

// Guards against an endpoint that seems silent, or whose slots stay empty, because many long answers
// occupy all connections.
it('checks the health of an endpoint while several hundred requests run', async () => {
  let openRequests = 0;
  const server = createServer((incoming, response) => {
    if (incoming.url === '/health')
      response.end(JSON.stringify({ instance: 'i', running: openRequests }));
    else openRequests += 1;
  });
  const endpoint = openEndpoint(await listen(server));
  const controller = new AbortController();
  const call = { method: 'POST', path: '/', headers: {}, body: Buffer.from('x') };
  const runs = Array.from({ length: 300 }, () =>
    endpoint.run(call, controller.signal).catch(() => undefined),
  );
  let running = 0;
  while (running < runs.length) ({ running } = await endpoint.readHealth(createSignal()));
  controller.abort();
  await Promise.all(runs);
  expect(running).toBe(300);
});

// Guards against "not run" for a request that the endpoint may have received, against a truncated
// answer that looks complete, and against an agent that considers a running plain service dead.
it('distinguishes refused connections, interrupted answers and refused orders of an endpoint', async () => {
  const server = createServer((incoming, response) => {
    if (incoming.url === '/health') response.end('OK');
    else if (incoming.url === '/orders') response.writeHead(409).end();
    else if (incoming.url === '/lost') response.destroy();
    else {
      response.writeHead(200, { 'content-length': '100' });
      response.write('part', () => response.destroy());
    }
  });
  const address = await listen(server);
  const endpoint = openEndpoint(address);
  const run = (path: string) =>
    endpoint.run({ method: 'POST', path, headers: {}, body: Buffer.from('x') }, createSignal());
  const formatRefusal = (error: unknown) =>
    `${toRefusal(error).code} notRun=${toRefusal(error).notRun}`;
  const { body } = await run('/truncated');
  const results = [
    await readText({ ...head, type: 'answer', status: 200, headers: {}, body } as never),
    await run('/lost').catch(formatRefusal),
    await endpoint.readHealth(createSignal()),
    await endpoint.sendOrder({ fencingToken: 1 } as EngineOrder).catch(formatRefusal),
    await endpoint.exportCache('a/b').catch(formatRefusal),
  ];
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  results.push(await run('/').catch(formatRefusal));
  expect(results).toMatchInlineSnapshot(`
    [
      "part<4002>",
      "7001 notRun=false",
      {
        "cold": false,
        "instance": "",
        "running": 0,
      },
      "5005 notRun=false",
      "4002 notRun=false",
      "7001 notRun=true",
    ]
  `);
});
