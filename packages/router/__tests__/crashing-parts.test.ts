import type { ServerResponse } from 'node:http';
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

// Guards against refusing a long stream because several endpoints crashed while it was answered.
it('a stream that lost several endpoints after its answer began is still sent', async () => {
  fixture = await createRouterFixture();
  const headers = { 'x-signed': '1', 'x-id': 'long', 'content-type': 'text/event-stream' };
  for (const id of endpointIds) {
    await fixture.addEndpoint(id, (message, response) => {
      message.resume();
      response.writeHead(200, headers);
      response.write('id: 1\ndata: a\n\n', () => message.socket.destroy());
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
