import { RelayError, ResultCode, type CrashMark, type Fingerprint } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createHarness } from './create-harness.js';

/** A harness whose endpoint crashes on the path `/poison`, and restarts after a second. */
async function createCrashingHarness() {
  const harness = await createHarness({ slots: 4, coldLimit: 4 });
  const { endpoint, log } = harness;
  const { answer } = endpoint;
  const { readHealth } = endpoint.handlers;
  let isDown = false;
  let crashes = 0;
  const running = new Set<() => void>();
  endpoint.handlers.readHealth = async (signal) => {
    if (!isDown) return readHealth(signal);
    throw new RelayError(ResultCode.connectionFailed, 'refused', { notRun: true });
  };
  endpoint.answer = async (request, signal) => {
    if (isDown) throw new RelayError(ResultCode.connectionFailed, 'refused', { notRun: true });
    let breakConnection = () => {};
    const broken = new Promise<never>((_, reject) => {
      breakConnection = () => reject(new Error('connection reset'));
    });
    running.add(breakConnection);
    if (request.path === '/poison') {
      crashes += 1;
      endpoint.instance = `instance-${crashes}`;
      isDown = true;
      endpoint.process.clock.startTimer(1_000, () => {
        isDown = false;
      });
      endpoint.process.clock.startTimer(1, () => running.forEach((end) => end()));
    }
    return Promise.race([answer(request, signal), broken]).finally(() =>
      running.delete(breakConnection),
    );
  };
  const listReports = () =>
    log.commands.flatMap((command) => {
      if (command.type === 'reportCrash') return [command.fingerprints.join('+')];
      return command.type === 'clearMark' ? [`clear ${command.fingerprint}`] : [];
    });
  return { ...harness, listReports };
}

const poison = { path: '/poison', fingerprint: 'poison', remainingMs: 20_000 };

// Guards against a request that crashes one endpoint after another, and against refusing requests
// that did not cause the crash.
it('reports the requests in progress, runs suspects alone, and clears or convicts them', async () => {
  const { ask, dispatch, virtual, listReports, endpoint } = await createCrashingHarness();
  endpoint.runMs = 500;
  const harmless = { path: '/harmless', fingerprint: 'harmless' };
  const first = dispatch(harmless).reply;
  await virtual.run(50);
  const replies = await virtual.runUntil(Promise.all([dispatch(poison).reply, first]));
  await virtual.run(2_000);
  endpoint.maxConcurrent = 0;
  const others = [dispatch({ ...harmless, mustArrive: true }).reply];
  await virtual.run(20);
  others.push(dispatch().reply, dispatch({ mustArrive: true }).reply);
  await virtual.run(450);
  const maxWithSuspect = endpoint.maxConcurrent;
  replies.push(...(await virtual.runUntil(Promise.all(others))));
  await virtual.run(500);
  replies.push(await ask(poison));
  await virtual.run(2_000);
  replies.push(await ask(poison), await ask(harmless));
  await virtual.run(2_000);
  expect([
    replies,
    maxWithSuspect,
    listReports(),
    endpoint.runs.filter((path) => path === '/poison').length,
  ]).toMatchInlineSnapshot(`
      [
        [
          "endpointFailed notRun=false",
          "endpointFailed notRun=false",
          "200 /harmless",
          "endpointBusy notRun=true",
          "200 /orders",
          "endpointFailed notRun=false",
          "crashConvicted notRun=true",
          "200 /harmless",
        ],
        1,
        [
          "harmless+poison",
          "clear harmless",
          "poison",
        ],
        2,
      ]
    `);
});

// Guards against a second run of an order that was in progress when its endpoint died.
it('does not run a non-idempotent suspect again, and replays its outcome', async () => {
  const { ask, virtual, endpoint } = await createCrashingHarness();
  const order = { ...poison, idempotent: false, idempotencyKey: 'key-1' };
  const done = { ...order, path: '/harmless', idempotencyKey: 'key-0' };
  const replies = [await ask(done), await ask(order)];
  await virtual.run(2_000);
  replies.push(await ask(done), await ask(order), await ask({ ...order, idempotencyKey: 'key-2' }));
  expect([replies.join(', '), endpoint.runs.join(' ')]).toMatchInlineSnapshot(`
    [
      "200 /harmless, endpointFailed notRun=false, 200 /harmless (replayed), outcomeUnknown notRun=false, crashSuspect notRun=true",
      "/harmless /poison",
    ]
  `);
});

// Guards against ignoring marks that other agents set, and against marks that never expire.
it('follows the marks of the replicated state until they expire', async () => {
  const { ask, view, virtual } = await createCrashingHarness();
  const mark: CrashMark = {
    fingerprint: 'marked' as Fingerprint,
    status: 'convicted',
    crashes: 2,
    expiresAt: virtual.clock.now() + 5_000,
  };
  view.state.marks = [mark];
  const replies = [await ask({ fingerprint: 'marked' })];
  await virtual.run(6_000);
  replies.push(await ask({ fingerprint: 'marked' }));
  expect(replies).toMatchInlineSnapshot(`
    [
      "crashConvicted notRun=true",
      "200 /orders",
    ]
  `);
});

// Guards against suspects that are refused until their mark expires, because a busy endpoint is
// never idle within the short wait of other requests.
it('lets a suspect wait until the running requests have ended', async () => {
  const { ask, dispatch, view, virtual, endpoint } = await createCrashingHarness();
  const expiresAt = virtual.clock.now() + 60_000;
  view.state.marks = [
    { fingerprint: 'marked' as Fingerprint, status: 'suspect', crashes: 1, expiresAt },
  ];
  endpoint.runMs = 1_000;
  const running = dispatch().reply;
  await virtual.run(100);
  expect([
    await ask({ fingerprint: 'marked' }),
    await virtual.runUntil(running),
    endpoint.maxConcurrent,
  ]).toMatchInlineSnapshot(`
    [
      "200 /orders",
      "200 /orders",
      1,
    ]
  `);
});

// Guards against mistaking a frozen endpoint for a crashed one: its requests are not suspects.
it('sends no new work to a silent endpoint and reports no crash', async () => {
  const { ask, dispatch, virtual, endpoint, listReports } = await createCrashingHarness();
  endpoint.runMs = 6_000;
  const running = dispatch({ remainingMs: 60_000 }).reply;
  await virtual.run(100);
  endpoint.process.freeze();
  await virtual.run(5_000);
  const refused = await ask();
  endpoint.process.resume();
  expect([refused, await virtual.runUntil(running), listReports()]).toMatchInlineSnapshot(`
    [
      "notReady notRun=true",
      "200 /orders",
      [],
    ]
  `);
});

// Guards against an unknown outcome of orders that started after their endpoint had crashed and
// restarted, and against a crash that counts twice when the reply to its report is lost.
it('reports a crash once, under its own incarnation', async () => {
  const { ask, dispatch, virtual, endpoint, log } = await createCrashingHarness();
  log.faults.answersToLose = 1;
  await ask(poison);
  await virtual.run(3_000);
  const { marks } = log.store.readState().daemon;
  endpoint.runMs = 1_000;
  const running = dispatch({ idempotent: false, idempotencyKey: 'key-3' }).reply;
  await virtual.run(200);
  const claim = { type: 'claim', account: 'account-1', key: 'key-3', bodyHash: 'hash-1' };
  const other = { endpoint: 'agent-2', incarnation: 1, nonce: 'n', attemptId: 'other' };
  const result = await virtual.runUntil(log.propose({ ...claim, ...other } as never));
  expect([
    marks.map(({ status, crashes }) => `${status} ${crashes}`),
    log.commands.filter(({ type }) => type === 'reportCrash').length,
    result.ok || result.message,
    await virtual.runUntil(running),
    await ask(poison),
  ]).toMatchInlineSnapshot(`
    [
      [
        "suspect 1",
      ],
      2,
      "the request is running",
      "200 /orders",
      "endpointFailed notRun=false",
    ]
  `);
});
