import type { RequestListener } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

/** Longer than the time after which an endpoint of the routes counts as silent. */
const silenceMs = 1_300;
const eventCount = 4;
const allEvents = [1, 2, 3, 4];

const wait = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

describe('a request whose endpoint is silent for a while', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  let arrivals: string[];
  afterEach(() => fixture.close());

  /** An endpoint that is silent once, before the event `silentBefore`; 0 means before the head. */
  const buildListener =
    (id: string, silentBefore?: number): RequestListener =>
    (message, response) => {
      arrivals.push(id);
      message.resume();
      const write = async () => {
        const isStream = message.url?.startsWith('/chat/') ?? false;
        if (silentBefore === 0) await wait(silenceMs);
        const type = isStream ? 'text/event-stream' : 'text/plain';
        response.writeHead(200, { 'x-id': 'r1', 'x-signed': '1', 'content-type': type });
        if (!isStream) response.end('found');
        if (!isStream) return;
        response.flushHeaders();
        const first = Number(message.headers['last-event-id'] ?? 0) + 1;
        for (let next = first; next <= eventCount; next += 1) {
          if (next === silentBefore) await wait(silenceMs);
          response.write(`id: ${next}\ndata: ${next}\n\n`);
        }
        response.end();
      };
      void write();
    };

  const start = async (options: Parameters<typeof createRouterFixture>[0] = {}) => {
    fixture = await createRouterFixture(options);
    arrivals = [];
  };

  const send = async (path: string) => {
    const headers = { 'x-id': 'r1', 'x-deadline': '2000' };
    const reply = await fetch(`${fixture.url}${path}`, { method: 'POST', body: 'x', headers });
    const text = await reply.text().catch(() => 'cut');
    return {
      status: reply.status,
      text: text.startsWith('id')
        ? [...text.matchAll(/^id: (\d)/gm)].map((m) => Number(m[1]))
        : text,
    };
  };

  // Guards against ending an answer because of a silence after which no other endpoint can go on.
  it.each([
    ['a lookup before its head', '/lookup/1', 0, 'found'],
    ['a stream before its head', '/chat/1', 0, allEvents],
    ['a stream before its first event', '/chat/1', 1, allEvents],
    ['a stream between two events', '/chat/1', 3, allEvents],
  ])('%s is answered by the only endpoint', async (_, path, silentBefore, text) => {
    await start();
    await fixture.addEndpoint('e1', buildListener('e1', silentBefore));
    expect(await send(path)).toEqual({ status: 200, text });
    expect(arrivals).toEqual(['e1']);
  });

  // Guards against giving up the endpoint for one that cannot take the request.
  it.each([
    ['is full', { slots: 0 }],
    ['leaves', { state: 'leaving' as const }],
    ['is silent itself', { isSilent: true }],
  ])('a stream stays where it is when the other endpoint %s', async (_, change) => {
    await start();
    await fixture.addEndpoint('e1', buildListener('e1', 3));
    fixture.announce('e2', 9, change);
    expect(await send('/chat/1')).toEqual({ status: 200, text: allEvents });
    expect(arrivals).toEqual(['e1']);
  });

  // Guards against giving up the endpoint for one whose slots are taken: it refuses the stream, which
  // has no endpoint then.
  it('a stream stays where it is when the other endpoint has requests in all slots', async () => {
    await start();
    await fixture.addEndpoint('e1', buildListener('e1', 3));
    const reply = send('/chat/1');
    await wait(silenceMs / 4);
    const refuse: RequestListener = (message, response) => {
      arrivals.push('e2');
      message.resume();
      response.writeHead(503, { 'x-id': 'r1', 'x-not-run': '1' }).end();
    };
    await fixture.addEndpoint('e2', refuse);
    fixture.router.updateObservations({
      ...{ loads: { e2: 4 }, outcomes: {}, crashes: {}, rates: {}, notices: {}, work: {} },
    } as never);
    expect(await reply).toEqual({ status: 200, text: allEvents });
    expect(arrivals).toEqual(['e1']);
  });

  // Guards against giving up the endpoint when the budget leaves no send to another one.
  it('a stream stays where it is when the retry budget is spent', async () => {
    await start({ retryExtra: 0 });
    await fixture.addEndpoint('e1', buildListener('e1', 3));
    await fixture.addEndpoint('e2', buildListener('e2', 3));
    expect(await send('/chat/1')).toEqual({ status: 200, text: allEvents });
    expect(arrivals).toHaveLength(1);
  });

  // Guards against waiting for a silent endpoint although another one is free.
  it('a stream goes on at an endpoint that joins during the silence', async () => {
    await start();
    await fixture.addEndpoint('e1', buildListener('e1', 3));
    const reply = send('/chat/1');
    await wait(silenceMs - 200);
    await fixture.addEndpoint('e2', buildListener('e2'));
    expect(await reply).toEqual({ status: 200, text: allEvents });
    expect(arrivals).toEqual(['e1', 'e2']);
  });
});
