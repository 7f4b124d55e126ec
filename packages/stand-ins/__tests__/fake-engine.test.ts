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
const noAbort = new AbortController().signal;

const createTestEngine = (options: Partial<FakeEngineOptions> = {}) => {
  const virtual = createVirtualClock();
  const random = createSeededRandom(seed);
  const engine = createFakeEngine({ clock: virtual.clock, random, instance: 'e', ...options });
  const send = async (content: string, extra: object = {}, signal = noAbort) => {
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

// Guards against a cache that never evicts, which would hide the cost of bad placement.
it('reuses the prefix of a returning chat and evicts the least recently used one', async () => {
  const { virtual, send } = createTestEngine({ cacheTokens: 250 });
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

// Guards against a fake engine whose speed is independent of its load, so that uneven load has no
// cost.
it('emits tokens more slowly in a larger batch', async () => {
  const { virtual, send } = createTestEngine({ batchSlowdownMs: 1 });
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

// Guards against equal answers to different prompts, and against streaming that changes an answer.
it('answers with the tokens of the prompt, streamed or not', async () => {
  const { virtual, send } = createTestEngine();
  const expected = buildAnswerTokens(buildPrompt([{ role: 'user', content: 'hello' }]), 3);
  const whole = await virtual.runUntil(send('hello', { max_tokens: 3 }));
  const streamed = await virtual.runUntil(send('hello', { max_tokens: 3, stream: true }));
  const contents = [...streamed.text.matchAll(/"content":"(.*?)"/g)].map((match) => match[1]);
  expect(contents).toEqual(expected);
  expect(JSON.parse(whole.text).choices[0].message.content).toBe(expected.join(''));
});

// Guards against a cold engine that accepts full load, or never becomes warm.
it('refuses requests above the cold limit until enough time and requests have passed', async () => {
  const { virtual, engine, send } = createTestEngine({
    startsCold: true,
    warmUpMs: 500,
    warmUpRequests: 2,
  });
  const answers = await virtual.runUntil(Promise.all([1, 2, 3, 4].map((i) => send(`${i}...`))));
  expect(answers.map(({ status }) => status)).toEqual([200, 200, 503, 503]);
  expect((await engine.readHealth(noAbort)).cold).toBe(true);
  await virtual.run(500);
  expect((await engine.readHealth(noAbort)).cold).toBe(false);
});

// Guards against requests served before others of higher priority, and slots lost on cancellation.
it('serves waiting requests by priority and frees the slot of a cancelled one', async () => {
  const { virtual, engine, send } = createTestEngine({ batchSize: 1 });
  const cancelling = new AbortController();
  const order: string[] = [];
  const start = (name: string, priority: number, signal = noAbort) =>
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

// Guards against a crash that leaves requests running, or keeps the cache or the instance id.
it('crashes on the crash text and restarts cold with a new instance', async () => {
  const { virtual, engine, send } = createTestEngine({ restartMs: 100 });
  await virtual.runUntil(send('kept chat'));
  const inFlight = send('kept chat', { max_tokens: 500 }).catch((error) => error.message);
  await virtual.run(1);
  await expect(virtual.runUntil(send('[[crash]]'))).rejects.toThrow('engine crashed');
  expect(await virtual.runUntil(inFlight)).toBe('engine crashed');
  await expect(send('kept chat')).rejects.toMatchObject({ notRun: true });
  await virtual.run(100);
  expect(await engine.readHealth(noAbort)).toEqual({
    instance: 'e#1',
    cold: true,
    running: 0,
  });
  expect(readCached(await virtual.runUntil(send('kept chat')))).toBe(0);
});

// Guards against a frozen engine that answers health checks or continues its work.
it('makes no progress while frozen', async () => {
  const { virtual, engine, send } = createTestEngine();
  engine.freeze();
  let health: unknown;
  void engine.readHealth(noAbort).then((value) => {
    health = value;
  });
  const answer = send('hello');
  await virtual.run(10_000);
  expect([health, engine.readStats().started]).toEqual([undefined, 0]);
  engine.resume();
  expect((await virtual.runUntil(answer)).status).toBe(200);
});

// Guards against fencing tests that pass only because the engine always, or never, checks tokens.
it('refuses a stale fencing token only when fencing is checked', async () => {
  const order = { endpoint: 'e', action: 'changeRole', target: 'decode' } as unknown as EngineOrder;
  for (const fencing of ['checked', 'ignored'] as const) {
    const { engine } = createTestEngine({ fencing });
    await engine.sendOrder({ ...order, fencingToken: 7 });
    const stale = engine.sendOrder({ ...order, fencingToken: 6 });
    if (fencing === 'checked') await expect(stale).rejects.toMatchObject({ code: 5005 });
    else await stale;
    expect(engine.listOrders()).toHaveLength(fencing === 'checked' ? 1 : 2);
  }
});

// Guards against cache and load reports that are more up to date than those of a real engine.
it('reports cache events late and with gaps, and load with a lag', async () => {
  const { virtual, engine, send } = createTestEngine({ cacheEventLoss: 0.5, loadLagMs: 1_000 });
  const answers = Promise.all([1, 2, 3].map((i) => send(`${i}...`, { max_tokens: 300 })));
  await virtual.run(400);
  expect([(await engine.readHealth(noAbort)).running, engine.listCacheEvents(0)]).toEqual([0, []]);
  await virtual.run(700);
  expect((await engine.readHealth(noAbort)).running).toBe(3);
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

// Guards against an import after which the prompts of the chat are computed again.
it('imports an exported cache', async () => {
  const { virtual, engine, send } = createTestEngine();
  const other = createTestEngine();
  await virtual.runUntil(send('chat'.repeat(50)));
  await other.engine.importCache('chat', (await engine.exportCache('chat')) ?? new Uint8Array());
  const answer = await other.virtual.runUntil(other.send('chat'.repeat(50)));
  expect(readCached(answer)).toMatchInlineSnapshot(`52`);
});
