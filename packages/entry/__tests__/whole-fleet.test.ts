import {
  hashSha256,
  toId,
  type DataCentreId,
  type FleetConfig,
  type Random,
} from '@vanillarelay/core';
import {
  createFleetContext,
  createSeededRandom,
  startAgent,
  startMemoryControlNode,
  startEntry,
  type FleetContext,
} from '@vanillarelay/scenarios';
import { createFakeEngine, createFakeService } from '@vanillarelay/stand-ins';
import { expect, it } from 'vitest';

const dataCentre = toId<DataCentreId>('lahore');
const key = 'caller-key';
const kind = { methods: ['POST'], mustArrive: false, priority: 5, deadlineMs: 20_000 };
const service = { loadMultiple: 3, coldLimit: 4, firstByteMs: 500 };
const config = {
  dataCentres: { lahore: { region: 'punjab' } },
  concurrentLoads: 1,
  services: {
    notices: {
      ...service,
      type: 'plain',
      kinds: { notice: { ...kind, pathPrefix: '/notices', idempotent: false } },
    },
    reports: {
      ...service,
      type: 'model',
      kinds: { chat: { ...kind, pathPrefix: '/v1/chat', idempotent: true } },
    },
  },
  accounts: {
    inspectors: {
      keyHashes: [hashSha256(key)],
      requestsPerSecond: 1_000,
      services: ['notices', 'reports'],
    },
  },
} as unknown as FleetConfig;

const startFleet = async (seed: number) => {
  const context = await createFleetContext({ seed });
  startMemoryControlNode(context, 'control-0', dataCentre);
  await context.virtual.run(1_500);
  const executions = new Map<string, ReturnType<typeof createFakeService>>();
  for (let index = 0; index < 3; index += 1) {
    const id = `notices-${index}`;
    const common = { dataCentre, slots: 8 };
    startAgent(context, {
      ...{ ...common, id, service: toId('notices') },
      createEndpoint: ({ clock }) => {
        const random: Random = createSeededRandom(seed);
        const fake = createFakeService({ clock, random, instance: id, answerMs: 30 });
        executions.set(id, fake);
        return fake;
      },
    });
  }
  startAgent(context, {
    ...{ id: 'reports-0', dataCentre, slots: 8, service: toId('reports') },
    createEndpoint: ({ clock }) =>
      createFakeEngine({ clock, random: createSeededRandom(seed), instance: 'e', tokenMs: 100 }),
  });
  ['entry-0', 'entry-1'].forEach((id) => startEntry(context, id, dataCentre));
  await context.controls
    .get('control-0')!
    .handlers.propose(
      { type: 'applyConfig', changeId: toId('c'), operator: 'o', expectedVersion: 0, config },
      new AbortController().signal,
    );
  await context.virtual.run(5_000);
  const countExecutions = (identity: string) =>
    [...executions.values()].reduce((sum, fake) => sum + (fake.listExecutions()[identity] ?? 0), 0);
  return { context, countExecutions };
};

const send = async (
  { entries }: FleetContext,
  entry: string,
  request: { method?: string; path: string; headers?: Record<string, string>; body?: string },
) => {
  const { method = 'POST', path, headers = {}, body = '{}' } = request;
  const reply = await entries.get(entry)!.handlers.handle(
    {
      ...{ method, path, body: Buffer.from(body) },
      headers: { authorization: `Bearer ${key}`, ...headers },
    },
    new AbortController().signal,
  );
  let text = '';
  let isBroken = false;
  try {
    for await (const chunk of reply.body) text += Buffer.from(chunk).toString();
  } catch {
    isBroken = true;
  }
  return { status: reply.status, text, isBroken, streamId: reply.headers['x-stream-id'] };
};

// Guards against a notice that runs twice, a false "not run" and a resend that gets another answer
// than the first request. Uses the real agents and the real state machine.
it('runs each notice at most once while an agent and an entry are killed', async () => {
  const counts: Record<string, number> = {};
  for (let seed = 1; seed <= 8; seed += 1) {
    const { context, countExecutions } = await startFleet(seed);
    const { virtual } = context;
    const notices = Array.from({ length: 24 }, (_, index) => `n${index}`);
    const answers = notices.map(async (id, index) => {
      await virtual.clock.wait(index * 5);
      const request = { path: '/services/notices/notices', headers: { 'idempotency-key': id } };
      const first = await Promise.race([
        send(context, `entry-${index % 2}`, request),
        virtual.clock.wait(40_000),
      ]);
      // Resend once more if the answer was aborted because its agent was killed.
      const again = await send(context, 'entry-1', request);
      const resent = again.isBroken ? await send(context, 'entry-1', request) : again;
      return { id, first, resent };
    });
    await virtual.run(20 + seed * 10);
    context.agents.get('notices-1')!.process.kill();
    await virtual.run(30);
    context.entries.get('entry-0')!.process.kill();
    const results = await virtual.runUntil(Promise.all(answers));
    results.forEach(({ id, first, resent }) => {
      const runs = countExecutions(`inspectors/${id}`);
      expect(runs).toBeLessThanOrEqual(1);
      [first, resent].forEach((answer) => {
        const name = answer
          ? `${answer.status}${answer.isBroken ? ' broken' : ''}`
          : 'entry killed';
        counts[name] = (counts[name] ?? 0) + 1;
        if (answer?.status === 200 && !answer.isBroken) expect(runs).toBe(1);
      });
      if (first?.text.includes('"notRun":true') && resent.status !== 200) expect(runs).toBe(0);
      if (first?.status === 200 && !first.isBroken) expect(resent.text).toBe(first.text);
    });
  }
  expect(counts).toMatchInlineSnapshot(`
    {
      "200": 294,
      "200 broken": 1,
      "502": 42,
      "entry killed": 47,
    }
  `);
}, 120_000);

// Guards against events that are lost or repeated when a caller resumes through another entry.
it('resumes a stream through another entry after the first one is killed', async () => {
  const { context } = await startFleet(1);
  const { virtual } = context;
  const body = JSON.stringify({
    ...{ model: 'reports', stream: true, resumable: true, max_tokens: 10 },
    messages: [{ role: 'user', content: 'How thick?' }],
  });
  const completions = '/v1/chat/completions';
  const uninterrupted = await virtual.runUntil(
    send(context, 'entry-1', { path: completions, body }),
  );
  const broken = send(context, 'entry-0', { path: completions, body });
  await virtual.run(500);
  context.entries.get('entry-0')!.process.kill();
  const first = await virtual.runUntil(Promise.race([broken, virtual.clock.wait(1_000)]));
  const text = first?.text ?? '';
  const ids = [...text.matchAll(/^id: (.+)$/gm)].map((match) => match[1]!);
  const lastId = ids.at(-1)!;
  const rest = await virtual.runUntil(
    send(context, 'entry-1', {
      ...{ method: 'GET', path: `/v1/streams/${lastId.split('.').slice(0, -1).join('.')}` },
      headers: { 'last-event-id': lastId },
    }),
  );
  const toEvents = (events: string) => events.replace(/^id: .*\.(\d+)$/gm, 'id: $1');
  const received = toEvents(text).split('event: error')[0] + toEvents(rest.text);
  expect(ids.length).toBeGreaterThan(1);
  expect(received).toBe(toEvents(uninterrupted.text));
});
