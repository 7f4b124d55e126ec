import { computeLoadBound } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createFairQueue } from '../src/admission/create-fair-queue.js';
import { createHarness } from './create-harness.js';

const countReplies = (replies: string[]) => {
  const counts: Record<string, number> = {};
  replies.forEach((reply) => {
    counts[reply] = (counts[reply] ?? 0) + 1;
  });
  return counts;
};

/** Adds 99 other ready endpoints, so that the load of the tested one hardly changes the mean. */
const addOtherEndpoints = (view: { members: Map<string, unknown> }) => {
  for (let index = 0; index < 99; index += 1) {
    view.members.set(`other-${index}`, { service: 'orders', status: 'ready' });
  }
};

// Guards against an engine loaded beyond the multiple of the mean, and against an engine that gets
// no work while the mean is 0.
it('limits the running requests by the mean of the last frame', async () => {
  const { dispatch, virtual, endpoint, view } = await createHarness({ slots: 8, coldLimit: 8 });
  addOtherEndpoints(view);
  view.means.orders = 1.2;
  endpoint.runMs = 1_000;
  const replies = Array.from({ length: 6 }, () => dispatch().reply);
  const result = countReplies(await virtual.runUntil(Promise.all(replies)));
  expect([
    result,
    endpoint.maxConcurrent,
    [0, 0.3, 1, 1.01].map((mean) => computeLoadBound(2, mean)).join(' '),
  ]).toMatchInlineSnapshot(`
      [
        {
          "200 /orders": 3,
          "endpointBusy notRun=true": 3,
        },
        3,
        "1 1 2 3",
      ]
    `);
});

// Guards against a single endpoint that runs one request at a time until a frame contains its mean.
it('does not limit the only endpoint of a service by an outdated mean', async () => {
  const { dispatch, virtual, endpoint, view } = await createHarness({ slots: 8, coldLimit: 8 });
  view.means.orders = 0;
  endpoint.runMs = 1_000;
  const replies = Array.from({ length: 6 }, () => dispatch().reply);
  expect(countReplies(await virtual.runUntil(Promise.all(replies)))).toEqual({ '200 /orders': 6 });
});

// Guards against requests stuck in the queue when a frame raises the bound but no request ends.
it('admits waiting requests when the mean rises', async () => {
  const { dispatch, virtual, endpoint, view } = await createHarness({ slots: 8, coldLimit: 8 });
  addOtherEndpoints(view);
  view.means.orders = 0;
  endpoint.runMs = 1_000;
  const replies = [1, 2, 3].map(() => dispatch({ patienceMs: 200 }).reply);
  await virtual.run(100);
  const before = endpoint.maxConcurrent;
  view.means.orders = 2;
  expect([before, countReplies(await virtual.runUntil(Promise.all(replies)))])
    .toMatchInlineSnapshot(`
    [
      1,
      {
        "200 /orders": 3,
      },
    ]
  `);
});

// Guards against a cold endpoint that gets full load, and against one that stays limited for ever.
it('raises the cold limit with good answers and halves it when they are slow', async () => {
  const { dispatch, virtual, endpoint, agent } = await createHarness({ slots: 6, coldLimit: 1 });
  const limits: (number | string)[] = [];
  const runLoad = async () => {
    endpoint.maxConcurrent = 0;
    const load = Array.from({ length: 8 }, () => dispatch({ mustArrive: true }).reply);
    await virtual.runUntil(Promise.all(load));
    limits.push(endpoint.maxConcurrent, agent.buildAnnouncement().status);
  };
  endpoint.runMs = 600;
  await runLoad();
  endpoint.runMs = 100;
  await runLoad();
  endpoint.runMs = 600;
  await runLoad();
  endpoint.runMs = 100;
  for (let i = 0; i < 4; i += 1) await runLoad();
  expect(limits.join(' ')).toMatchInlineSnapshot(
    `"1 cold 3 cold 4 cold 3 cold 4 cold 5 ready 6 ready"`,
  );
});

// Guards against full load on an endpoint that became cold unnoticed.
it('treats an endpoint as cold after a restart, a report that it is cold, or slow first bytes', async () => {
  const { ask, virtual, endpoint, agent, timeline } = await createHarness({
    slots: 2,
    coldLimit: 1,
  });
  const warm = async () => {
    for (let i = 0; i < 20; i += 1) await ask();
    return agent.buildAnnouncement().status;
  };
  const statuses = [await warm()];
  endpoint.instance = 'second';
  await virtual.run(500);
  statuses.push(agent.buildAnnouncement().status, await warm());
  endpoint.cold = true;
  await virtual.run(500);
  endpoint.cold = false;
  statuses.push(agent.buildAnnouncement().status, await warm());
  endpoint.runMs = 2_000;
  for (let i = 0; i < 3; i += 1) await ask();
  statuses.push(agent.buildAnnouncement().status);
  const reasons = timeline
    .list()
    .flatMap(({ name, details }) => (name === 'endpoint.cold' ? [details!.reason] : []));
  expect([statuses.join(' '), reasons.join(', ')]).toMatchInlineSnapshot(`
    [
      "ready cold ready cold ready cold",
      "endpoint died, endpoint says so, slow first bytes",
    ]
  `);
});

// Guards against new work in a data centre taken out, at a draining or leaving endpoint, without
// contact, or without an endpoint; and against full load on a data centre that returns.
it('refuses all new work at endpoints that must not get any', async () => {
  const { ask, virtual, endpoint, view, status, agent } = await createHarness({
    slots: 2,
    coldLimit: 1,
  });
  for (let i = 0; i < 4; i += 1) await ask();
  const replies: string[] = [agent.buildAnnouncement().status];
  view.state.dataCentresOut = ['lahore'] as never;
  replies.push(await ask());
  await virtual.run(500);
  view.state.dataCentresOut = [];
  await virtual.run(500);
  replies.push(agent.buildAnnouncement().status);
  view.state.draining = ['agent-1'] as never;
  replies.push(await ask(), agent.buildAnnouncement().status);
  view.state.draining = [];
  status.contact = 'isolated';
  replies.push(await ask());
  status.contact = 'attached';
  endpoint.process.kill();
  await virtual.run(500);
  replies.push(await ask(), agent.buildAnnouncement().status);
  expect([replies.join(', '), endpoint.runs.length]).toMatchInlineSnapshot(`
    [
      "ready, dataCentreOut notRun=true, cold, endpointLeaving notRun=true, leaving, isolated notRun=true, notReady notRun=true, leaving",
      4,
    ]
  `);
});

// Guards against full load on an engine that has just reported an overload, and against a
// non-idempotent request that is run again elsewhere because of a status alone.
it('treats an overloaded engine as cold and keeps its answer to a claimed request', async () => {
  const { ask, endpoint, agent } = await createHarness({ slots: 2, coldLimit: 1, type: 'model' });
  for (let i = 0; i < 4; i += 1) await ask();
  const results: string[] = [agent.buildAnnouncement().status];
  const { answer } = endpoint;
  endpoint.answer = async (request, signal) => ({
    ...(await answer(request, signal)),
    status: 503,
  });
  results.push(await ask(), agent.buildAnnouncement().status);
  const order = { idempotent: false, idempotencyKey: 'key-1' };
  results.push(await ask(order), await ask(order));
  expect(results).toMatchInlineSnapshot(`
    [
      "ready",
      "endpointBusy notRun=true",
      "cold",
      "503 /orders",
      "503 /orders (replayed)",
    ]
  `);
});

// Guards against work admitted under a state that the entry knows to be outdated.
it('fetches a newer state before it answers', async () => {
  const { ask, status, view, endpoint } = await createHarness();
  status.nextState = { ...view.state, version: 2, dataCentresOut: ['lahore'] as never };
  const replies = [await ask({ stateVersion: 2 }), await ask({ stateVersion: 3 })];
  expect([replies, endpoint.runs.length]).toMatchInlineSnapshot(`
    [
      [
        "dataCentreOut notRun=true",
        "staleState notRun=true",
      ],
      0,
    ]
  `);
});

// Guards against must-arrive requests that are dropped, and against requests that wait although
// their caller has left, or without a limit.
it('lets must-arrive requests wait for their deadline and others a short time', async () => {
  const { dispatch, virtual, endpoint } = await createHarness({ slots: 1, coldLimit: 1 });
  endpoint.runMs = 3_000;
  const first = dispatch().reply;
  await virtual.run(20);
  const patient = dispatch({ mustArrive: true, path: '/patient' }).reply;
  const late = dispatch({ mustArrive: true, remainingMs: 1_000 }).reply;
  const left = dispatch({ mustArrive: true, path: '/left' });
  left.reply.catch(() => {});
  const hasty = dispatch().reply;
  await virtual.run(500);
  left.controller.abort();
  const replies = await virtual.runUntil(Promise.all([first, patient, late, hasty]));
  expect([replies.join(', '), endpoint.runs.join(' ')]).toMatchInlineSnapshot(`
    [
      "200 /orders, 200 /patient, deadlineExceeded notRun=true, endpointBusy notRun=true",
      "/orders /patient",
    ]
  `);
});

// Guards against one account that fills the queue or is always served first, and against urgent
// requests that wait behind others.
it('serves by priority, then round-robin over the accounts', () => {
  const queue = createFairQueue({ limit: 7, accountLimit: 4 });
  const push = (account: string, priority: number) =>
    queue.push({ account, priority, exclusive: false, grant: () => {}, refuse: () => {} } as never);
  const pushed = [
    ...['big', 'big', 'big', 'big', 'big', 'small', 'small'].map((account) => push(account, 5)),
    push('urgent', 0),
    push('small', 5),
  ];
  const order: string[] = [];
  for (let item = queue.findNext(); item; item = queue.findNext()) {
    order.push(item.account);
    queue.remove(item, true);
  }
  expect([pushed.join(' '), order.join(' ')]).toMatchInlineSnapshot(`
    [
      "true true true true false true true true false",
      "urgent big small big small big big",
    ]
  `);
});
