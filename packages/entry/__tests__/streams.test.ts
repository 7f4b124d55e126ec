import { RelayError, ResultCode, type AgentClient, type DispatchReply } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createFixture } from './create-fixture.js';

const completion = {
  path: '/v1/chat/completions',
  body: Buffer.from('{"model":"reports","messages":[{}],"stream":true,"resumable":true}'),
};

type Body = () => AsyncGenerator<Uint8Array>;

/** Reads a completion whose agent sends `body`; returns its text and how the stream ended. */
async function readStream(headers: Record<string, string>, body: Body) {
  const fixture = await createFixture({ agents: 1 });
  fixture.updateMembers(() => ({ service: 'reports' as never }));
  const agent = fixture.fleet.get('agent-0')!;
  agent.handlers.dispatch = async () =>
    ({ type: 'answer', status: 200, headers, streamId: 's1', body: body() }) as never;
  const reply = await fixture.virtual.runUntil(fixture.send(completion));
  let text = '';
  let end = 'complete';
  const read = async () => {
    for await (const chunk of reply.body) text += Buffer.from(chunk).toString();
  };
  await fixture.virtual.runUntil(
    read().catch((error: RelayError) => {
      end = `broken off ${error.code}`;
    }),
  );
  const running = fixture.entry.countRunning();
  return { text, end, running, streamId: reply.headers['x-stream-id'] };
}

const events = { 'content-type': 'text/event-stream' };

// Guards against a truncated answer that appears complete.
it('ends an incomplete stream with an error event and an error', async () => {
  expect({
    complete: await readStream(events, async function* write() {
      yield Buffer.from('data: {}\n\ndata: [DO');
      yield Buffer.from('NE]\n\n');
    }),
    early: await readStream(events, async function* write() {
      yield Buffer.from('data: {}\n\n');
    }),
    broken: await readStream(events, async function* write() {
      yield Buffer.from('data: {"a"');
      throw new RelayError(ResultCode.endpointFailed, 'the endpoint crashed');
    }),
    // The agent has already sent an error event.
    withErrorEvent: await readStream(events, async function* write() {
      yield Buffer.from('event: error\ndata: {}\n\n');
      throw new RelayError(ResultCode.endpointFailed, 'the endpoint crashed');
    }),
    short: await readStream({ 'content-length': '10' }, async function* write() {
      yield Buffer.from('{"a":');
    }),
  }).toMatchInlineSnapshot(`
    {
      "broken": {
        "end": "broken off 4001",
        "running": 0,
        "streamId": "agent-0.s1",
        "text": "data: {"a"
    event: error
    data: {"error":{"message":"the endpoint crashed","type":"endpointFailed","code":4001,"notRun":false,"requestId":"m0gzy8kqdzef4c74"}}

    ",
      },
      "complete": {
        "end": "complete",
        "running": 0,
        "streamId": "agent-0.s1",
        "text": "data: {}

    data: [DONE]

    ",
      },
      "early": {
        "end": "broken off 4002",
        "running": 0,
        "streamId": "agent-0.s1",
        "text": "data: {}

    event: error
    data: {"error":{"message":"the stream ended before its final event","type":"streamBroken","code":4002,"notRun":false,"requestId":"m0gzy8kqdzef4c74"}}

    ",
      },
      "short": {
        "end": "broken off 4002",
        "running": 0,
        "streamId": "agent-0.s1",
        "text": "{"a":",
      },
      "withErrorEvent": {
        "end": "broken off 4001",
        "running": 0,
        "streamId": "agent-0.s1",
        "text": "event: error
    data: {}

    ",
      },
    }
  `);
});

// Guards against a caller that waits forever for an agent that froze in the middle of an answer.
it.each([
  { method: 'POST', path: '/services/notices/permits/1' },
  { method: 'GET', path: '/v1/streams/agent-0.s1' },
])('aborts $path when its agent has left the membership', async (request) => {
  const fixture = await createFixture({ agents: 1 });
  const agent = fixture.fleet.get('agent-0')!;
  const openAnswer = async (signal: AbortSignal) => ({
    ...{ type: 'answer', status: 200, headers: {} },
    body: (async function* write() {
      yield Buffer.from('a');
      await fixture.virtual.clock.wait(60_000, signal);
      throw new Error('aborted');
    })(),
  });
  const handlers = {
    dispatch: (_: unknown, signal: AbortSignal) => openAnswer(signal),
    resume: (_: unknown, after: number, signal: AbortSignal) => openAnswer(signal),
  };
  Object.assign(agent.handlers, handlers);
  const reply = await fixture.virtual.runUntil(fixture.send(request));
  fixture.removeMember('agent-0');
  const read = fixture.readReply(reply).catch((error: RelayError) => error.code);
  expect(await fixture.virtual.runUntil(read, 10_000)).toBe(ResultCode.streamBroken);
  expect(fixture.entry.countRunning()).toBe(0);
});

// Guards against a stream that can be resumed or cancelled only through the entry that started it.
it('resumes and cancels a stream through any entry by its event id', async () => {
  const fixture = await createFixture();
  const calls: unknown[] = [];
  const agent = fixture.fleet.get('agent-1')!;
  const handlers: Partial<AgentClient> = {
    resume: async (streamId, after) => {
      calls.push(['resume', streamId, after]);
      return { type: 'refusal', refusal: { code: ResultCode.streamUnknown } } as DispatchReply;
    },
    cancel: async (streamId) => {
      calls.push(['cancel', streamId]);
    },
  };
  Object.assign(agent.handlers, handlers);
  const requests = [
    { method: 'GET', path: '/v1/streams/s1', headers: { 'last-event-id': 'agent-1.s1.17' } },
    { method: 'GET', path: '/v1/streams/agent-1.s1', headers: {} },
    { method: 'GET', path: '/v1/streams/s2', headers: { 'last-event-id': 'agent-1.s1.17' } },
    { method: 'GET', path: '/v1/streams/gone.s1', headers: {} },
    { method: 'DELETE', path: '/v1/streams/agent-1.s1', headers: {} },
    { method: 'DELETE', path: '/v1/streams/agent-1.s1', headers: { authorization: 'Bearer x' } },
  ] as const;
  const statuses: number[] = [];
  for (const request of requests) statuses.push((await fixture.ask(request)).status);
  expect(statuses).toEqual([404, 404, 400, 404, 204, 401]);
  expect(calls).toEqual([
    ['resume', 's1', 17],
    ['resume', 's1', 0],
    ['cancel', 's1'],
  ]);
});
