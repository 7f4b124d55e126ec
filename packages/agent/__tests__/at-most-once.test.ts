import { ResultCode } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createHarness } from './create-harness.js';

const order = { idempotent: false, idempotencyKey: 'key-1' };

// Guards against a resend that runs the order a second time instead of getting its answer.
it('replays the stored answer to a resend', async () => {
  const { ask, endpoint } = await createHarness();
  expect([await ask(order), await ask(order), endpoint.runs.length]).toMatchInlineSnapshot(`
    [
      "200 /orders",
      "200 /orders (replayed)",
      1,
    ]
  `);
});

// Guards against two runs when a resend arrives while the first attempt is still running.
it('lets a resend wait for the running execution', async () => {
  const { dispatch, virtual, endpoint } = await createHarness();
  const first = dispatch(order).reply;
  const second = dispatch(order).reply;
  const replies = await virtual.runUntil(Promise.all([first, second]));
  expect([replies.sort().join(', '), endpoint.runs.length]).toMatchInlineSnapshot(`
    [
      "200 /orders, 200 /orders (replayed)",
      1,
    ]
  `);
});

// Guards against answering one order with the outcome of another one.
it('refuses the same key with another body, and an order without a key', async () => {
  const { ask, endpoint } = await createHarness();
  const replies = [
    await ask(order),
    await ask({ ...order, bodyHash: 'hash-2' }),
    await ask({ idempotent: false }),
  ];
  expect([replies.join(', '), endpoint.runs.length]).toMatchInlineSnapshot(`
    [
      "200 /orders, idempotencyKeyReused notRun=true, missingIdempotencyKey notRun=true",
      1,
    ]
  `);
});

// Guards against an order that runs although it is unknown whether its claim was granted, and
// against an order that is blocked by its own claim, because the reply to the claim was lost.
it('repeats a claim with the same nonce when its reply was lost', async () => {
  const { ask, log, endpoint } = await createHarness();
  log.faults.answersToLose = 2;
  const reply = await ask(order);
  const nonces = log.commands.flatMap((command) =>
    command.type === 'claim' ? [command.nonce] : [],
  );
  expect([reply, nonces.length, new Set(nonces).size, endpoint.runs.length]).toMatchInlineSnapshot(`
    [
      "200 /orders",
      3,
      1,
      1,
    ]
  `);
});

// Guards against running an order whose claim control never confirmed.
it('refuses as not run when control does not reply, and frees the record later', async () => {
  const { ask, log, endpoint, virtual } = await createHarness();
  log.faults.answersToLose = 1_000;
  const refused = await ask(order);
  log.faults.answersToLose = 0;
  await virtual.run(5_000);
  expect([refused, log.listRecordStatuses(), endpoint.runs.length, await ask(order)])
    .toMatchInlineSnapshot(`
      [
        "noQuorum notRun=true",
        [
          "open",
        ],
        0,
        "200 /orders",
      ]
    `);
});

// Guards against a run after the refusal "not run", when the network delivers an attempt twice.
it('runs an attempt that is delivered twice only once, and refuses a refused one again', async () => {
  const { dispatch, virtual, endpoint, network, view, ask } = await createHarness();
  network.startDuplicates('entry-1', 'agent-1');
  await virtual.runUntil(dispatch({ attemptId: 'twice' }).reply);
  const runs = endpoint.runs.length;
  view.state.dataCentresOut = ['lahore'] as never;
  const refused = await ask({ attemptId: 'late' });
  view.state.dataCentresOut = [];
  expect([runs, refused, await ask({ attemptId: 'late' }), endpoint.runs.length])
    .toMatchInlineSnapshot(`
    [
      1,
      "dataCentreOut notRun=true",
      "dataCentreOut notRun=true",
      1,
    ]
  `);
});

// Guards against a run after the caller got "not run": the attempt was voided while the agent was
// frozen, after it had received the dispatch.
it('does not run an attempt that was voided while the agent was frozen', async () => {
  const { dispatch, virtual, process, log, endpoint } = await createHarness();
  process.freeze();
  const { reply } = dispatch({ ...order, attemptId: 'frozen' });
  await virtual.run(2_000);
  await virtual.runUntil(
    log.propose({
      type: 'void',
      account: 'account-1',
      key: 'key-1',
      attemptId: 'frozen',
    } as never),
  );
  process.resume();
  expect([await virtual.runUntil(reply), endpoint.runs.length]).toMatchInlineSnapshot(`
    [
      "attemptVoided notRun=true",
      0,
    ]
  `);
});

// Guards against a second run of an order whose agent was killed between claim and answer.
it('refuses a resend with an unknown outcome when the claiming agent is gone', async () => {
  const { ask, log, endpoint, virtual } = await createHarness();
  const executor = { endpoint: 'agent-9', incarnation: 1, nonce: 'n', attemptId: 'a' };
  const record = { account: 'account-1', key: 'key-1', bodyHash: 'hash-1' };
  await virtual.runUntil(log.propose({ type: 'claim', ...record, ...executor } as never));
  expect([await ask({ ...order, remainingMs: 60_000 }), endpoint.runs.length])
    .toMatchInlineSnapshot(`
    [
      "outcomeUnknown notRun=false",
      0,
    ]
  `);
});

// Guards against an order that starts after its caller has given up.
it('does not run an order whose deadline passed while claiming', async () => {
  const { ask, log, endpoint, virtual } = await createHarness();
  log.faults.delayMs = 400;
  const refused = await ask({ ...order, remainingMs: 300 });
  await virtual.run(3_000);
  expect([refused, endpoint.runs.length, log.listRecordStatuses()]).toMatchInlineSnapshot(`
    [
      "deadlineExceeded notRun=true",
      0,
      [
        "open",
      ],
    ]
  `);
});

// Guards against an order that is cancelled during its run when its caller's connection breaks: a
// resend must get its outcome.
it('runs an order to its end when the caller leaves', async () => {
  const { dispatch, ask, virtual, endpoint } = await createHarness();
  const { reply, controller } = dispatch(order);
  reply.catch(() => {});
  await virtual.run(50);
  controller.abort();
  await virtual.run(1_000);
  expect([endpoint.runs.length, endpoint.cancelled, await ask(order)]).toMatchInlineSnapshot(`
    [
      1,
      0,
      "200 /orders (replayed)",
    ]
  `);
});

// Guards against "not run" for a key whose record has expired: it ran long ago.
it('refuses an expired key with an unknown outcome', async () => {
  const { ask, log, endpoint } = await createHarness();
  log.faults.answer = {
    ok: false,
    code: ResultCode.recordExpired,
    message: 'expired',
    details: { record: { status: 'unknown', bodyHash: '' } },
  };
  expect([await ask(order), endpoint.runs.length]).toMatchInlineSnapshot(`
    [
      "recordExpired notRun=false",
      0,
    ]
  `);
});

// Guards against one synced log entry for each claim, which would limit the orders per second.
it('batches the claims of a few milliseconds in one log entry', async () => {
  const { dispatch, virtual, log } = await createHarness({ slots: 8, coldLimit: 8 });
  const orders = Array.from({ length: 8 }, (_, i) =>
    dispatch({ idempotent: false, idempotencyKey: `key-${i}` }),
  );
  await virtual.runUntil(Promise.all(orders.map(({ reply }) => reply)));
  await virtual.run(100);
  expect([log.commands.length, log.countLogEntries()]).toMatchInlineSnapshot(`
    [
      16,
      2,
    ]
  `);
});
