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
const none = () => new AbortController().signal;

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

/** An agent's server whose handlers note their calls. */
async function startAgent(answer: (signal: AbortSignal) => AsyncIterable<Uint8Array>) {
  const calls: string[] = [];
  const strangers: string[] = [];
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
    reportStranger: (path) => strangers.push(path),
  });
  return { calls, strangers, address: await listen(server) };
}

async function* write(...chunks: string[]) {
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

// Guards against strangers and peers with malformed messages changing anything.
it('calls no handler without a key or with a malformed head', async () => {
  const { calls, strangers, address } = await startAgent(() => write());
  const { body, ...good } = request;
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
    { ...good, priority: 10 },
    { ...good, method: 'CONNECT' },
    { ...good, extra: 1 },
    { ...good, path: 'http://elsewhere/' },
    { ...good, attemptId: 'a'.repeat(257) },
    { ...good, remainingMs: 1e12 },
    { ...good, headers: Object.fromEntries(Array.from({ length: 101 }, (_, i) => [`h${i}`, ''])) },
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
  expect([[...statuses], strangers.length, malformed.join(' '), calls]).toMatchInlineSnapshot(`
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

// Guards against messages that arrive changed, and against a broken answer that looks complete.
it('carries requests, answers and their early end', async () => {
  async function* breakOff() {
    yield* write('whole ');
    throw new Error('broken');
  }
  let body = () => write('first ', 'second') as AsyncIterable<Uint8Array>;
  const { calls, address } = await startAgent(() => body());
  const client = openAgent(address, { key });
  const reply = await client.dispatch(request, none());
  const texts = [await readText(reply)];
  body = breakOff;
  texts.push(await readText(await client.resume('stream' as never, 3, none())));
  await client.notePlacement({
    service: 's',
    chat: 'a/b',
    holder: 'h',
    incarnation: 1,
    sequence: 2,
  } as never);
  await client.importCache(
    { service: 's', chat: 'a/b', tokens: 5 } as never,
    Buffer.from('cache'),
    none(),
  );
  expect([texts, reply.type === 'answer' && reply.headers, calls.map((call) => call.slice(0, 60))])
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
        "dispatch {"requestId":"r","attemptId":"a","account":"account",
        "resume "stream"",
        "notePlacement {"service":"s","chat":"a/b","holder":"h","inca",
        "importCache {"service":"s","chat":"a/b","tokens":5}",
      ],
    ]
  `);
});

// Guards against an engine that computes for a caller whose connection is gone.
it('aborts the signal of a dispatch when its connection closes', async () => {
  let handleAbort = () => {};
  const aborted = new Promise<void>((resolve) => {
    handleAbort = resolve;
  });
  async function* writeSlowly(signal: AbortSignal) {
    signal.addEventListener('abort', handleAbort);
    yield* write('first');
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

// Guards against an endpoint taken for silent, or slots left empty, because its many long answers
// hold all connections.
it('checks the health of an endpoint while several hundred requests run', async () => {
  let open = 0;
  const server = createServer((incoming, response) => {
    if (incoming.url === '/health') response.end(JSON.stringify({ instance: 'i', running: open }));
    else open += 1;
  });
  const endpoint = openEndpoint(await listen(server));
  const controller = new AbortController();
  const call = { method: 'POST', path: '/', headers: {}, body: Buffer.from('x') };
  const runs = Array.from({ length: 300 }, () =>
    endpoint.run(call, controller.signal).catch(() => undefined),
  );
  let running = 0;
  while (running < runs.length) ({ running } = await endpoint.readHealth(none()));
  controller.abort();
  await Promise.all(runs);
  expect(running).toBe(300);
});

// Guards against "not run" for a request that the endpoint may have got, a truncated answer that
// looks complete, and an agent that takes a plain service for dead.
it('tells refused connections, broken answers and refused orders of an endpoint apart', async () => {
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
    endpoint.run({ method: 'POST', path, headers: {}, body: Buffer.from('x') }, none());
  const describe = (error: unknown) => `${toRefusal(error).code} notRun=${toRefusal(error).notRun}`;
  const { body } = await run('/truncated');
  const results = [
    await readText({ ...head, type: 'answer', status: 200, headers: {}, body } as never),
    await run('/lost').catch(describe),
    await endpoint.readHealth(none()),
    await endpoint.sendOrder({ fencingToken: 1 } as EngineOrder).catch(describe),
    await endpoint.exportCache('a/b').catch(describe),
  ];
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  results.push(await run('/').catch(describe));
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
