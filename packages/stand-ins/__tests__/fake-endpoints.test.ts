import { createSeededRandom, createVirtualClock } from '@vanillarelay/scenarios';
import { createFakeService, createFakeWeightStore } from '@vanillarelay/stand-ins';
import { expect, it } from 'vitest';

const seed = 1;
const noAbort = new AbortController().signal;

// Guards against duplicate or cancelled executions that the fake service does not count.
it('counts executions by request identity', async () => {
  const { clock, runUntil } = createVirtualClock();
  const service = createFakeService({ clock, random: createSeededRandom(seed), instance: 's' });
  const send = (key: string, signal = noAbort) =>
    service.run(
      {
        method: 'POST',
        path: '/notices',
        headers: { 'idempotency-key': key },
        body: Buffer.from(''),
      },
      signal,
    );
  await runUntil(Promise.all([send('a'), send('b'), send('a', AbortSignal.abort())]));
  expect(service.listExecutions()).toEqual({ a: 2, b: 1 });
});

// Guards against parallel loads that each get the full bandwidth.
it('shares the bandwidth of the weight store and refuses loads above the limit', async () => {
  const { clock, runUntil } = createVirtualClock();
  const store = createFakeWeightStore({
    clock,
    instance: 'w',
    bytesPerSecond: 1_000_000,
    weightBytes: 500_000,
    maxLoads: 2,
  });
  const load = async () => {
    const request = { method: 'GET', path: '/weights/m', headers: {}, body: Buffer.from('') };
    const answer = await store.run(request, noAbort);
    let size = 0;
    for await (const chunk of answer.body) size += chunk.length;
    return `${answer.status} ${size > 100 ? size : 'refused'} ${Math.round(clock.monotonic())}`;
  };
  const first = [load(), load()];
  await Promise.resolve();
  const answers = Promise.all(first);
  await Promise.resolve();
  expect(await runUntil(load())).toBe('429 refused 0');
  expect(await runUntil(answers)).toMatchInlineSnapshot(`
    [
      "200 500000 959",
      "200 500000 1000",
    ]
  `);
});
