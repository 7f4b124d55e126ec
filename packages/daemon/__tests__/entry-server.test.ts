import { once } from 'node:events';
import { Agent, request as sendRequest, type Server } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { RelayError, ResultCode, type RequestId } from '@vanillarelay/core';
import { buildProblem, type CallerReply, type CallerRequest } from '@vanillarelay/entry';
import { afterEach, expect, it } from 'vitest';
import { createEntryServer } from '@vanillarelay/daemon';
import { closeServer } from '../src/http/close-server.js';
import { listenOn } from '../src/http/listen-on.js';

type Handle = (request: CallerRequest, signal: AbortSignal) => Promise<CallerReply>;

const servers: Server[] = [];
const requestId = 'r1' as RequestId;
const requestIdHeader = { 'x-request-id': 'r1' };

afterEach(async () => {
  servers.forEach((server) => server.closeAllConnections());
  await Promise.all(servers.splice(0).map((server) => closeServer(server)));
});

const openServer = async (handle: Handle) => {
  const server = createEntryServer({
    entry: {
      handle,
      isReady: () => true,
      checkCaller: (authorization) => {
        if (authorization === 'Bearer key') return 'account' as never;
        throw new RelayError(ResultCode.unauthorized, 'unknown key', { notRun: true });
      },
      buildRefusalReply: (error) => buildProblem(error as RelayError, requestId),
    },
    operatorKeys: ['operator-key'],
    listTimeline: () => [],
    listHistograms: () => [],
    limits: {
      bodyBytes: 1_000_000,
      headerBytes: 4_096,
      requestMs: 300,
      headersMs: 200,
      checkIntervalMs: 50,
    },
  });
  await listenOn(server, '127.0.0.1:0');
  servers.push(server);
  return { server, port: (server.address() as AddressInfo).port };
};

async function* yieldChunks(...chunks: string[]) {
  for (const chunk of chunks) yield Buffer.from(chunk);
}

const createReply = (body: AsyncIterable<Uint8Array>, headers = {}): CallerReply => ({
  status: 200,
  headers: { ...requestIdHeader, ...headers },
  body,
});

/** Sends raw text and returns everything received until the connection closes. */
const sendRaw = async (port: number, text: string): Promise<string> => {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (chunk) => {
    received += chunk.toString();
  });
  socket.on('error', () => {
    received += '[reset]';
  });
  socket.write(text);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  return received;
};

const readStatus = (answer: string) => {
  const code = /"code":(\d+),"notRun":(\w+)/.exec(answer);
  return `${answer.slice(9, 12)} code ${code?.[1]} notRun ${code?.[2]}${answer.includes('[reset]') ? ' reset' : ''}`;
};

const head = 'POST /services/a/b HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key\r\n';

// Guards against limits that close the connection without an answer, and against callers that never
// complete a request.
it('refuses large, slow, malformed and unauthorized requests with problem details', async () => {
  const { port } = await openServer(async () => createReply(yieldChunks('ran')));
  const big = 'x'.repeat(2_000_000);
  const chunked = `${head}transfer-encoding: chunked\r\n\r\n1e8480\r\n${big}\r\n0\r\n\r\n`;
  const answers = {
    'body by length': await sendRaw(port, `${head}content-length: 2000000\r\n\r\n${big}`),
    'body by chunks': await sendRaw(port, chunked),
    headers: await sendRaw(port, `${head}x-a: ${'y'.repeat(8_000)}\r\n\r\n`),
    'slow headers': await sendRaw(port, head),
    'slow body': await sendRaw(port, `${head}content-length: 10\r\n\r\nabc`),
    malformed: await sendRaw(port, 'NOT HTTP\r\n\r\n'),
    'no key': await sendRaw(
      port,
      `${head.replace('key', 'no')}content-length: 2000000\r\n\r\n${big}`,
    ),
  };
  const lines = Object.entries(answers).map(([name, answer]) => `${name}: ${readStatus(answer)}`);
  expect(lines.join('\n')).toMatchInlineSnapshot(`
    "body by length: 413 code 1001 notRun true
    body by chunks: 413 code 1001 notRun true
    headers: 431 code 1002 notRun true
    slow headers: 408 code 1007 notRun true
    slow body: 408 code 1007 notRun true
    malformed: 400 code 1000 notRun true
    no key: 401 code 1100 notRun true"
  `);
});

// Guards against a truncated answer that looks complete: the error event must reach the caller, and
// the connection must close without the final chunk of the answer.
it('flushes the error event and closes the connection without the final chunk', async () => {
  async function* yieldThenThrow() {
    yield Buffer.from('event: error\n\n');
    throw new Error('broken');
  }
  const { port } = await openServer(async () => createReply(yieldThenThrow()));
  const answer = await sendRaw(port, `${head}content-length: 0\r\n\r\n`);
  expect([answer.includes('event: error'), answer.includes('0\r\n\r\n')]).toEqual([true, false]);
});

// Guards against an engine that keeps working for a caller that has disconnected.
it('aborts the request when the caller closes the connection', async () => {
  let abort = () => {};
  const aborted = new Promise<void>((resolve) => {
    abort = resolve;
  });
  let start = () => {};
  const started = new Promise<void>((resolve) => {
    start = resolve;
  });
  const { port } = await openServer((_, signal) => {
    signal.addEventListener('abort', () => abort());
    start();
    return new Promise(() => {});
  });
  const socket = connect(port, '127.0.0.1');
  socket.write(`${head}content-length: 0\r\n\r\n`);
  await started;
  socket.destroy();
  await aborted;
});

// Guards against a shutdown that interrupts requests in progress or keeps idle connections open.
it('completes requests in progress on shutdown and accepts no others', async () => {
  let release = () => {};
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  let start = () => {};
  const started = new Promise<void>((resolve) => {
    start = resolve;
  });
  const { server, port } = await openServer(async () =>
    createReply(
      (async function* hold() {
        yield Buffer.from('first ');
        start();
        await released;
        yield Buffer.from('last');
      })(),
    ),
  );
  const agent = new Agent({ keepAlive: true });
  const headers = { authorization: 'Bearer key' };
  const call = sendRequest({ port, host: '127.0.0.1', path: '/services/a/b', agent, headers });
  const responded = once(call, 'response') as Promise<[AsyncIterable<Buffer>]>;
  call.end();
  await started;
  const closed = closeServer(server);
  const refused = await sendRaw(port, `${head}\r\n`);
  release();
  const [response] = await responded;
  let text = '';
  for await (const chunk of response) text += chunk.toString();
  await closed;
  agent.destroy();
  expect([refused, text]).toEqual(['[reset]', 'first last']);
});

// Guards against operators' pages that can be read without a key.
it('serves metrics and the timeline with the operator key only', async () => {
  const { port } = await openServer(async () => createReply(yieldChunks('')));
  const statuses: number[] = [];
  for (const path of ['/relay/metrics', '/relay/timeline', '/relay/toString']) {
    for (const key of ['', 'operator-key']) {
      const answer = await fetch(`http://127.0.0.1:${port}${path}`, {
        headers: { 'x-relay-key': key },
      });
      statuses.push(answer.status);
    }
  }
  expect(statuses).toEqual([401, 200, 401, 200, 401, 404]);
});
