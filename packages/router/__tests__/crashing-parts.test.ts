import type { IncomingMessage, ServerResponse } from 'node:http';
import { ResultCode } from '@vanillarelay/core';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

type Fixture = Awaited<ReturnType<typeof createRouterFixture>>;

const endpointIds = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7', 'e8'];

/**
 * Adds an endpoint that loses all its requests when it begins the answer to a prompt with the part
 * `bad`, and starts again at once.
 */
async function addCrashingEndpoint(fixture: Fixture, id: string, crashes: string[]): Promise<void> {
  const open = new Set<ServerResponse>();
  await fixture.addEndpoint(id, (message, response) => {
    open.add(response);
    response.once('close', () => open.delete(response));
    message.resume();
    if (message.headers['x-parts']?.includes('bad')) {
      crashes.push(id);
      open.forEach((running) => running.destroy());
      const { record } = fixture.endpoints.find(id as never) ?? {};
      if (record) fixture.endpoints.merge({ ...record, bornAt: record.bornAt + 1 });
      return;
    }
    const head = { 'x-signed': '1', 'x-id': String(message.headers['x-id']) };
    response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
    response.end('id: 1\ndata: a\n\n');
  });
}

let fixture: Fixture;
afterEach(() => fixture.close());

const post = async (id: string, parts: string): Promise<number> => {
  const answer = await fetch(`${fixture.url}/chat/1`, {
    method: 'POST',
    headers: { 'x-id': id, 'x-parts': parts },
    body: id,
  });
  await answer.text();
  return answer.status;
};

describe('prompts with a part that crashes endpoints', () => {
  // Guards against requests that differ but share a part that crashes one endpoint after another.
  it('are refused after a few crashes, while prompts without it are served', async () => {
    fixture = await createRouterFixture();
    const crashes: string[] = [];
    for (const id of endpointIds) await addCrashingEndpoint(fixture, id, crashes);
    const bad: number[] = [];
    const good: number[] = [];
    for (let index = 0; index < 12; index += 1) {
      bad.push(await post(`bad-${index}`, `common,bad,own-${index}`));
      good.push(await post(`good-${index}`, `common,topic,other-${index}`));
    }
    expect(crashes.length).toBeLessThanOrEqual(5);
    expect(bad.slice(5).every((status) => status === 503)).toBe(true);
    expect(new Set(good)).toEqual(new Set([200]));
  });

  // Guards against a request that crashes a second endpoint because it is sent again.
  it('are not sent again after a crash unless answers with their parts have begun', async () => {
    fixture = await createRouterFixture();
    const crashes: string[] = [];
    for (const id of endpointIds) await addCrashingEndpoint(fixture, id, crashes);
    const sound = await post('good', 'common,topic,own');
    const status = await post('bad-1', 'common,bad,own-1');
    expect([sound, status, crashes.length]).toEqual([200, 502, 1]);
  });

  // Guards against failing prompts that were merely in flight when their endpoint crashed.
  it('are sent again after a crash when answers with their parts have begun', async () => {
    fixture = await createRouterFixture();
    for (const id of endpointIds) await addCrashingEndpoint(fixture, id, []);
    const before = await post('good-1', 'common,topic,own-1');
    let losses = 0;
    await fixture.addEndpoint('e0', (message) => {
      losses += 1;
      message.socket.destroy();
    });
    endpointIds.slice(1).forEach((id) => fixture.endpoints.remove(id as never));
    const statuses = [];
    for (let index = 2; index < 6; index += 1) {
      statuses.push(await post(`good-${index}`, `common,topic,own-${index}`));
    }
    expect(losses).toBeGreaterThan(0);
    expect([before, statuses]).toEqual([200, [200, 200, 200, 200]]);
  });
});

const startStream = (message: IncomingMessage, response: ServerResponse, events: number) => {
  const head = { 'x-signed': '1', 'x-id': String(message.headers['x-id']) };
  response.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
  const first = Number(message.headers['last-event-id'] ?? 0) + 1;
  const ids = Array.from({ length: events }, (_, index) => first + index);
  return new Promise<void>((resolve) => {
    response.write(ids.map((id) => `id: ${id}\ndata: a\n\n`).join(''), () => resolve());
  });
};

// Guards against refusing a long stream because several endpoints crashed while it was answered.
it('a stream whose runs are lost at different points is still sent', async () => {
  fixture = await createRouterFixture();
  const events = [1, 4, 12, 2, 30, 9];
  for (const id of endpointIds) {
    await fixture.addEndpoint(id, (message, response) => {
      message.resume();
      void startStream(message, response, events.shift() ?? 0).then(() => message.socket.destroy());
    });
  }
  for (let index = 0; index < 3; index += 1) {
    await expect(post('long', 'common,topic,own')).rejects.toThrow();
  }
  expect(fixture.results.map(({ refusal, sends }) => [refusal?.code, sends.length])).toEqual([
    [4000, 2],
    [4000, 2],
    [4000, 2],
  ]);
});

// Guards against a request that crashes one endpoint after another, each after its first event.
it('a request that crashes its endpoints after their first event is refused', async () => {
  fixture = await createRouterFixture();
  const runs: string[] = [];
  for (const id of endpointIds) {
    await fixture.addEndpoint(id, (message, response) => {
      message.resume();
      runs.push(id);
      void startStream(message, response, 1).then(() => message.socket.destroy());
    });
  }
  for (let index = 0; index < 6; index += 1) await post('bad', 'common,topic,own').catch(() => {});
  expect(runs).toHaveLength(3);
  expect(fixture.results.slice(2).map(({ refusal }) => refusal?.code)).toEqual([
    ResultCode.crashConvicted,
    ResultCode.crashConvicted,
    ResultCode.crashConvicted,
    ResultCode.crashConvicted,
  ]);
});

// Guards against refusing a sound content since several requests with it were lost in one crash.
it('a content of which several requests were lost in one crash is still sent', async () => {
  fixture = await createRouterFixture();
  const running: IncomingMessage[] = [];
  await fixture.addEndpoint('e1', (message, response) => {
    message.resume();
    running.push(message);
    if (running.length === 4) running.forEach(({ socket }) => socket.destroy());
    if (running.length <= 4) return;
    void startStream(message, response, 1).then(() => response.end());
  });
  const lost = Array.from({ length: 4 }, () => post('same', 'common,topic,own'));
  expect(await Promise.all(lost)).toEqual([502, 502, 502, 502]);
  expect(await post('same', 'common,topic,own')).toBe(200);
});

const streamHead =
  'HTTP/1.1 200 OK\r\nx-id: same\r\nx-signed: 1\r\nContent-Type: text/event-stream\r\n';
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';

// Guards against refusing a sound content since endpoints answered it with bytes that are no answer:
// these show that the endpoint runs.
it.each([
  ['bytes that are no HTTP', 'no answer\r\n\r\n'],
  ['a head with a length that is no number', `${streamHead}Content-Length: x\r\n\r\n`],
  ['a chunk whose size is no number', `${streamHead}${chunked}x\r\n`],
  ['a block that is no event', `${streamHead}\r\nno event\n\n`],
  ['an event that is incomplete', `${streamHead}${chunked}8\r\nid: 1\nda\r\n0\r\n\r\n`],
])('a content that was answered with %s is still sent', async (_, bytes) => {
  fixture = await createRouterFixture();
  for (const id of endpointIds) await fixture.addRawEndpoint(id, (socket) => socket.write(bytes));
  const statuses: number[] = [];
  for (let index = 0; index < 5; index += 1) statuses.push(await post('same', 'common,topic,own'));
  expect(statuses).toEqual([502, 502, 502, 502, 502]);
  expect(fixture.events.map(({ event }) => event)).not.toContain('request.lost');
});
