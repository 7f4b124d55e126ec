import type { EndpointAnswer, EngineOrder } from '@vanillarelay/core';
import { createSeededRandom, createVirtualClock } from '@vanillarelay/scenarios';
import {
  buildAnswerTokens,
  buildPrompt,
  createFakeEngine,
  type FakeEngineOptions,
} from '@vanillarelay/stand-ins';
import { expect, it } from 'vitest';

const seed = 1;
const never = new AbortController().signal;

const createRig = (options: Partial<FakeEngineOptions> = {}) => {
  const virtual = createVirtualClock();
  const random = createSeededRandom(seed);
  const engine = createFakeEngine({ clock: virtual.clock, random, instance: 'e', ...options });
  const send = async (content: string, extra: object = {}, signal = never) => {
    const body = { messages: [{ role: 'user', content }], chat_id: content.slice(0, 4), ...extra };
    const request = {
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.from(JSON.stringify(body)),
    };
    return readText(await engine.run(request, signal));
  };
  return { virtual, engine, send };
};

const readText = async ({ status, body }: EndpointAnswer) => {
  let text = '';
  for await (const chunk of body) text += Buffer.from(chunk).toString();
  return { status, text };
};

const readCached = ({ text }: { text: string }) => Number(/"cached_tokens":(\d+)/.exec(text)?.[1]);

// Guards against a cache that never forgets, which would hide the cost of bad placement.
it('reuses the prefix of a returning chat and evicts the least recently used one', async () => {
  const { virtual, send } = createRig({ cacheTokens: 250 });
  const chats = ['aaaa', 'bbbb', 'aaaa', 'cccc', 'aaaa', 'bbbb'];
  const cached: number[] = [];
  for (const chat of chats) {
    cached.push(readCached(await virtual.runUntil(send(chat.repeat(100), { stream: true }))));
  }
  expect(cached).toMatchInlineSnapshot(`
    [
      0,
      0,
      102,
      0,
      102,
      0,
    ]
  `);
});

// Guards against a fake whose speed does not depend on load, so that skew would cost nothing.
it('emits tokens more slowly in a larger batch', async () => {
  const { virtual, send } = createRig({ batchSlowdownMs: 1 });
  const measure = async (count: number) => {
    const start = virtual.clock.monotonic();
    const answers = Array.from({ length: count }, (_, i) => send(`${i}...`));
    await virtual.runUntil(Promise.all(answers));
    return Math.round(virtual.clock.monotonic() - start);
  };
  expect([await measure(1), await measure(10)]).toMatchInlineSnapshot(`
    [
      17,
      89,
    ]
  `);
});

// Guards against answers that cannot be told apart, or a streamed one that differs from a whole one.
it('answers whole and streamed with the tokens of the prompt', async () => {
  const { virtual, send } = createRig();
  const expected = buildAnswerTokens(buildPrompt([{ role: 'user', content: 'hello' }]), 3);
  const whole = await virtual.runUntil(send('hello', { max_tokens: 3 }));
  const streamed = await virtual.runUntil(send('hello', { max_tokens: 3, stream: true }));
  const contents = [...streamed.text.matchAll(/"content":"(.*?)"/g)].map((match) => match[1]);
  expect(contents).toEqual(expected);
  expect(JSON.parse(whole.text).choices[0].message.content).toBe(expected.join(''));
});

// Guards against a cold engine that bears full load, or never warms.
it('fails above the cold limit until warmed by time and work', async () => {
  const { virtual, engine, send } = createRig({
    startsCold: true,
    warmUpMs: 500,
    warmUpRequests: 2,
  });
  const answers = await virtual.runUntil(Promise.all([1, 2, 3, 4].map((i) => send(`${i}...`))));
  expect(answers.map(({ status }) => status)).toEqual([200, 200, 503, 503]);
  expect((await engine.readHealth(never)).cold).toBe(true);
  await virtual.run(500);
  expect((await engine.readHealth(never)).cold).toBe(false);
});

// Guards against waiting requests that overtake more important ones, and places lost on cancel.
it('serves waiting requests by priority and frees the place of a cancelled one', async () => {
  const { virtual, engine, send } = createRig({ batchSize: 1 });
  const cancelling = new AbortController();
  const order: string[] = [];
  const start = (name: string, priority: number, signal = never) =>
    send(name, { priority }, signal).then(
      () => order.push(name),
      () => order.push(`${name} cancelled`),
    );
  const all = [start('first', 5, cancelling.signal), start('low', 9), start('high', 0)];
  await virtual.run(3);
  cancelling.abort();
  await virtual.runUntil(Promise.all(all));
  expect(order).toEqual(['first cancelled', 'high', 'low']);
  expect(engine.readStats()).toMatchObject({ cancelled: 1, completed: 2, running: 0 });
});

// Guards against a crash that spares requests in flight, keeps the cache or the instance id.
it('crashes on the marked text and starts again cold with a new instance', async () => {
  const { virtual, engine, send } = createRig({ restartMs: 100 });
  await virtual.runUntil(send('kept chat'));
  const bystander = send('kept chat', { max_tokens: 500 }).catch((error) => error.message);
  await virtual.run(1);
  await expect(virtual.runUntil(send('[[crash]]'))).rejects.toThrow('engine crashed');
  expect(await virtual.runUntil(bystander)).toBe('engine crashed');
  await expect(send('kept chat')).rejects.toMatchObject({ notRun: true });
  await virtual.run(100);
  expect(await engine.readHealth(never)).toEqual({ instance: 'e#1', cold: true, running: 0 });
  expect(readCached(await virtual.runUntil(send('kept chat')))).toBe(0);
});

// Guards against a frozen engine that answers health checks or goes on with its work.
it('makes no progress while frozen', async () => {
  const { virtual, engine, send } = createRig();
  engine.freeze();
  let health: unknown;
  void engine.readHealth(never).then((value) => {
    health = value;
  });
  const answer = send('hello');
  await virtual.run(10_000);
  expect([health, engine.readStats().started]).toEqual([undefined, 0]);
  engine.resume();
  expect((await virtual.runUntil(answer)).status).toBe(200);
});

// Guards against tests of fencing that pass because the engine itself refuses, or never does.
it('refuses a stale fencing token only when it checks them', async () => {
  const order = { endpoint: 'e', action: 'changeRole', target: 'decode' } as unknown as EngineOrder;
  for (const fencing of ['checked', 'ignored'] as const) {
    const { engine } = createRig({ fencing });
    await engine.sendOrder({ ...order, fencingToken: 7 });
    const stale = engine.sendOrder({ ...order, fencingToken: 6 });
    if (fencing === 'checked') await expect(stale).rejects.toMatchObject({ code: 5005 });
    else await stale;
    expect(engine.listOrders()).toHaveLength(fencing === 'checked' ? 1 : 2);
  }
});

// Guards against cache and load reports that are more timely than a real engine's.
it('reports cache events late and with gaps, and load with a lag', async () => {
  const { virtual, engine, send } = createRig({ cacheEventLoss: 0.5, loadLagMs: 1_000 });
  const answers = Promise.all([1, 2, 3].map((i) => send(`${i}...`, { max_tokens: 300 })));
  await virtual.run(400);
  expect([(await engine.readHealth(never)).running, engine.listCacheEvents(0)]).toEqual([0, []]);
  await virtual.run(700);
  expect((await engine.readHealth(never)).running).toBe(3);
  await virtual.runUntil(answers);
  await virtual.run(2_000);
  expect(engine.listCacheEvents(0).map(({ sequence }) => sequence)).toMatchInlineSnapshot(`
    [
      1,
      3,
      4,
      5,
    ]
  `);
});

// Guards against moved chats that are computed again.
it('takes over an exported cache', async () => {
  const { virtual, engine, send } = createRig();
  const other = createRig();
  await virtual.runUntil(send('chat'.repeat(50)));
  await other.engine.importCache('chat', (await engine.exportCache('chat')) ?? new Uint8Array());
  const answer = await other.virtual.runUntil(other.send('chat'.repeat(50)));
  expect(readCached(answer)).toMatchInlineSnapshot(`52`);
});
