import type { EndpointAnswer, StreamId } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createEventSplitter } from '../src/streams/create-event-splitter.js';
import { createHarness } from './create-harness.js';

const events = ['data: {"a":1}\n\n', 'data: b\n\n', 'data: [DONE]\n\n'];

/** Creates a harness whose engine sends one event every 100 ms and ends in the way of `end`. */
async function createStreamingHarness(end: 'whole' | 'early' | 'throws' | 'endless' = 'whole') {
  const harness = await createHarness({ type: 'model' });
  const { endpoint, client, virtual } = harness;
  async function* write(signal: AbortSignal) {
    for (let i = 0; end === 'endless' || i < (end === 'whole' ? 3 : 2); i += 1) {
      await endpoint.process.clock.wait(100, signal);
      if (signal.aborted) throw new Error('aborted');
      yield Buffer.from(events[i] ?? 'data: more\n\n');
    }
    if (end === 'throws') throw new Error('connection reset');
  }
  endpoint.answer = async (_, signal): Promise<EndpointAnswer> => ({
    status: 200,
    headers: { 'content-type': 'text/event-stream' },
    body: write(signal),
  });
  /** Resumes the agent's only stream, whose id is taken from an answer. */
  const resume = async (text: string, after: number) => {
    const [, streamId] = /id: agent-1\.([^.]+)\.\d+/.exec(text) ?? [];
    const reply = await virtual.runUntil(
      client.resume(streamId as StreamId, after, new AbortController().signal),
    );
    if (reply.type === 'refusal') return `refused ${reply.refusal.code} ${reply.refusal.notRun}`;
    let rest = '';
    const read = async () => {
      for await (const chunk of reply.body) rest += Buffer.from(chunk).toString();
    };
    await virtual.runUntil(
      read().catch((error: Error) => {
        rest += `<${error.message}>`;
      }),
    );
    return hideId(rest);
  };
  /** Dispatches, reads for a time, and breaks the connection. */
  const breakAfter = async (ms: number, fields: object) => {
    const controller = new AbortController();
    let text = '';
    const request = { ...harness.buildRequest('broken'), ...fields };
    const read = async () => {
      const reply = await client.dispatch(request as never, controller.signal);
      if (reply.type === 'answer')
        for await (const chunk of reply.body) text += Buffer.from(chunk).toString();
    };
    read().catch(() => {});
    await virtual.run(ms);
    controller.abort();
    return text;
  };
  return { ...harness, resume, breakAfter };
}

const hideId = (text: string) => text.replace(/agent-1\.[^.]+\./g, 'agent-1.S.');

// Guards against an answer that ended early and appears complete.
it.each(['whole', 'early', 'throws'] as const)(
  'numbers events and shows the end: %s',
  async (end) => {
    const { ask } = await createStreamingHarness(end);
    expect(hideId(await ask())).toMatchSnapshot();
  },
);

// Guards against bytes that no engine meant as an event, numbered and passed on as one.
it.each([
  ...['xyz\n\n', '<html>\ndata: x\n\n', 'HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n', '{"a":1}\n\n'],
  ...['id:\n\n', 'event: x\n\n', 'data: \0\n\n'],
])('breaks off a stream that contains %j', async (bytes) => {
  const { ask, endpoint } = await createHarness({ type: 'model' });
  async function* write() {
    for (const part of [events[0], bytes, events[2]])
      yield await Promise.resolve(Buffer.from(part ?? ''));
  }
  endpoint.answer = async (): Promise<EndpointAnswer> => ({
    ...{ status: 200, headers: { 'content-type': 'text/event-stream' }, body: write() },
  });
  const text = hideId(await ask());
  expect(text).toMatch(
    /^200 id: agent-1\.S\.1\ndata: {"a":1}\n\nid: agent-1\.S\.2\nevent: error\n/,
  );
  expect(text).toContain('<broke off: 4002>');
});

// Guards against a keepalive that breaks a stream.
it('passes a comment on', async () => {
  const { ask, endpoint } = await createHarness({ type: 'model' });
  async function* write() {
    yield await Promise.resolve(Buffer.from(`: wait\n\n${events[2]}`));
  }
  endpoint.answer = async (): Promise<EndpointAnswer> => ({
    ...{ status: 200, headers: { 'content-type': 'text/event-stream' }, body: write() },
  });
  expect(hideId(await ask())).not.toContain('broke off');
});

// Guards against truncated plain answers that appear complete.
it('breaks off an answer that is shorter than its content-length', async () => {
  const { ask, endpoint } = await createHarness();
  const { answer } = endpoint;
  endpoint.answer = async (request, signal) => ({
    ...(await answer(request, signal)),
    headers: { 'content-length': '100' },
  });
  expect(await ask()).toMatchInlineSnapshot(`"200 /orders<broke off: 4002>"`);
});

// Guards against an answer lost with the connection of its caller, repeated events, and gaps.
it('resumes an answer from an event number, during its run and until 60 s after its end', async () => {
  const { breakAfter, resume, virtual, endpoint } = await createStreamingHarness();
  const text = await breakAfter(150, { resumable: true });
  const replies = [hideId(text), await resume(text, 1)];
  await virtual.run(59_000);
  replies.push(await resume(text, 2));
  await virtual.run(2_000);
  replies.push(await resume(text, 2));
  expect([replies, endpoint.cancelled]).toMatchInlineSnapshot(`
    [
      [
        "id: agent-1.S.1
    data: {"a":1}

    ",
        "id: agent-1.S.2
    data: b

    id: agent-1.S.3
    data: [DONE]

    ",
        "id: agent-1.S.3
    data: [DONE]

    ",
        "refused 4003 false",
      ],
      0,
    ]
  `);
});

// Guards against engines that compute for callers who left: the run ends at once, or after 10 s if
// resumable.
it('cancels when the caller leaves', async () => {
  const { breakAfter, virtual, endpoint, agent } = await createStreamingHarness('endless');
  await breakAfter(250, {});
  await virtual.run(20);
  const cancelled = [endpoint.cancelled];
  await breakAfter(250, { attemptId: 'second', resumable: true });
  await virtual.run(9_000);
  cancelled.push(endpoint.cancelled);
  await virtual.run(1_500);
  cancelled.push(endpoint.cancelled);
  expect([cancelled.join(' '), agent.buildAnnouncement().running]).toMatchInlineSnapshot(`
    [
      "1 1 2",
      0,
    ]
  `);
});

// Guards against a slot that is never released because the caller does not read.
it('cancels the answer of a caller that reads nothing', async () => {
  const { client, virtual, endpoint, agent, buildRequest } = await createHarness();
  async function* write() {
    for (;;) yield Buffer.alloc(64 * 1024);
  }
  endpoint.answer = async () => ({ status: 200, headers: {}, body: write() });
  await virtual.runUntil(client.dispatch(buildRequest('a') as never, new AbortController().signal));
  await virtual.run(20_000);
  const before = agent.buildAnnouncement().running;
  await virtual.run(20_000);
  expect([before, agent.buildAnnouncement().running]).toMatchInlineSnapshot(`
    [
      1,
      0,
    ]
  `);
});

// Guards against events split or lost at chunk boundaries, even inside a character or line end.
it('parses events the same wherever chunk boundaries fall', () => {
  const bytes = Buffer.from(
    '\uFEFFdata: süß\r\n\r\nevent: x\r\ndata: a\r\ndata: b\n\n\n: note\r\rdata: end\n\n',
  );
  const split = (sizes: number[]) => {
    const splitter = createEventSplitter();
    const parsed: string[][] = [];
    let start = 0;
    sizes.forEach((size) => {
      parsed.push(...splitter.push(bytes.subarray(start, start + size)));
      start += size;
    });
    return JSON.stringify([parsed, splitter.hasIncompleteEvent()]);
  };
  const unsplit = split([bytes.length]);
  const results = new Set([unsplit, split(Array.from(bytes, () => 1))]);
  for (let i = 0; i < bytes.length; i += 1) results.add(split([i, 1, bytes.length - i - 1]));
  expect([...results]).toMatchInlineSnapshot(`
    [
      "[[["data: süß"],["event: x","data: a","data: b"],[": note"],["data: end"]],false]",
    ]
  `);
});
