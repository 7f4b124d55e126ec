import { ResultCode, type Refusal } from '@vanillarelay/core';
import { describe, expect, it } from 'vitest';
import { createFixture } from './create-fixture.js';

const notice = {
  path: '/services/notices/notices/1',
  headers: { 'idempotency-key': 'notice-1' },
};
const lookup = { path: '/services/notices/permits/1' };
const photo = { path: '/services/notices/photos/1' };

const busy: Refusal = { code: ResultCode.endpointBusy, message: 'busy', notRun: true };

type Fixture = Awaited<ReturnType<typeof createFixture>>;

const countRuns = ({ runs }: Fixture) => runs.get('notice-1') ?? 0;

/** Sends a notice, injects a fault after `faultAtMs`, and checks the answer against the runs. */
async function runNotice(fixture: Fixture, faultAtMs: number, injectFault: () => void) {
  const answer = fixture.send(notice).then(fixture.readReply);
  await fixture.virtual.run(faultAtMs);
  injectFault();
  const broken = { status: 0, text: '', problem: undefined };
  const reply = await fixture.virtual.runUntil(answer.catch(() => broken));
  // Let delayed messages arrive, so that a late second run is counted.
  await fixture.virtual.run(30_000);
  const runs = countRuns(fixture);
  expect(runs).toBeLessThanOrEqual(1);
  if (reply.status === 200) expect(runs).toBe(1);
  if (reply.problem?.notRun) expect(runs).toBe(0);
  return `${reply.status} ${reply.problem?.code ?? 'answered'} notRun=${String(reply.problem?.notRun)} runs=${runs}`;
}

describe('a request that must not run twice', () => {
  // Guards against a second run and a false "not run", whenever the agent is killed.
  it('runs at most once when the agent is killed', async () => {
    const outcomes = new Set<string>();
    for (let ms = 0; ms <= 40; ms += 1) {
      const fixture = await createFixture({ seed: ms + 1, claimMs: 10 });
      const kill = () => {
        const { agent } = fixture.dispatches[0] ?? { agent: 'agent-0' };
        fixture.fleet.get(agent)!.process.kill();
        fixture.removeMember(agent);
      };
      outcomes.add(await runNotice(fixture, ms, kill));
    }
    expect([...outcomes].sort().join('\n')).toMatchInlineSnapshot(`
      "0 answered notRun=undefined runs=1
      200 answered notRun=undefined runs=1
      502 4000 notRun=false runs=0
      502 4000 notRun=false runs=1"
    `);
  });

  // Guards against a frozen agent that resumes and runs the request after another agent has run it.
  it('runs at most once when the agent is frozen and resumes late', async () => {
    const outcomes = new Set<string>();
    for (let ms = 0; ms <= 40; ms += 1) {
      const fixture = await createFixture({ seed: ms + 1, claimMs: 10 });
      const freeze = () => {
        const { agent } = fixture.dispatches[0] ?? { agent: 'agent-0' };
        const { process } = fixture.fleet.get(agent)!;
        process.freeze();
        fixture.removeMember(agent);
        fixture.virtual.clock.startTimer(20_000, () => process.resume());
      };
      outcomes.add(await runNotice(fixture, ms, freeze));
    }
    expect([...outcomes].sort().join('\n')).toMatchInlineSnapshot(`
      "0 answered notRun=undefined runs=1
      200 answered notRun=undefined runs=1
      502 4000 notRun=false runs=1"
    `);
  });

  // Guards against reporting a request as not run because its answer was lost.
  it('reports an unknown outcome when the answer or the void is lost', async () => {
    const outcomes = new Set<string>();
    for (const cutControl of [false, true]) {
      const fixture = await createFixture({ claimMs: 10, runMs: 200 });
      const injectFault = () => {
        fixture.network.cut('entry', fixture.dispatches[0]!.agent);
        if (cutControl) fixture.network.cut('entry', 'control');
      };
      outcomes.add(await runNotice(fixture, 60, injectFault));
    }
    expect([...outcomes].join('\n')).toMatchInlineSnapshot(`"502 4000 notRun=false runs=1"`);
  });

  // Guards against a second run when the entry is killed and the caller resends to another one.
  it('runs at most once when the entry is killed and the request resent', async () => {
    const outcomes = new Set<string>();
    for (let ms = 0; ms <= 30; ms += 1) {
      const fixture = await createFixture({ seed: ms + 1, claimMs: 10 });
      void fixture
        .send(notice)
        .then(fixture.readReply)
        .catch(() => {});
      await fixture.virtual.run(ms);
      // At 0 ms cut the links to the agents, so that the first request is lost and the resend must
      // run whatever delays the fake network draws.
      if (ms === 0) fixture.fleet.forEach((_, id) => fixture.network.cut('entry', id));
      fixture.entry.process.kill();
      const other = fixture.openEntry('other');
      const resent = fixture.send(notice, undefined, other).then(fixture.readReply);
      const { status, problem } = await fixture.virtual.runUntil(resent);
      await fixture.virtual.run(30_000);
      outcomes.add(`${status} notRun=${String(problem?.notRun)} runs=${countRuns(fixture)}`);
    }
    expect([...outcomes].sort().join('\n')).toMatchInlineSnapshot(`
      "200 notRun=undefined runs=1
      502 notRun=false runs=1"
    `);
  });

  // Guards against a retry with the voided attempt id, for which every claim is refused.
  it('uses a new attempt id after the previous attempt was voided', async () => {
    const fixture = await createFixture({ claimMs: 10 });
    const outcome = await runNotice(fixture, 5, () => {
      const { agent } = fixture.dispatches[0]!;
      fixture.fleet.get(agent)!.process.kill();
    });
    const attempts = fixture.dispatches.map(({ request }) => request.attemptId);
    expect([outcome, attempts.length, new Set(attempts).size]).toEqual([
      '200 answered notRun=undefined runs=1',
      2,
      2,
    ]);
  });
});

describe('retries', () => {
  // Guards against an idempotent request that fails with its agent although others could run it.
  it('runs an idempotent request elsewhere when its agent dies', async () => {
    const fixture = await createFixture({ runMs: 100 });
    const answer = fixture.send(lookup).then(fixture.readReply);
    await fixture.virtual.run(20);
    fixture.fleet.get(fixture.dispatches[0]!.agent)!.process.kill();
    expect((await fixture.virtual.runUntil(answer)).status).toBe(200);
  });

  // Guards against a killed agent that appears idle, so that every request tries it until the hubs
  // remove it.
  it('avoids an endpoint that it could not reach', async () => {
    const fixture = await createFixture();
    fixture.fleet.get('agent-0')!.process.kill();
    for (let i = 0; i < 40; i += 1) expect((await fixture.ask(lookup)).status).toBe(200);
    const refused = fixture.timeline.list().filter(({ name }) => name === 'request.refused');
    expect(fixture.virtual.clock.monotonic()).toBeLessThan(1_000);
    expect(refused.length).toBe(1);
  });

  // Guards against a false "not run" after an earlier attempt that may have run.
  it('does not report "not run" when an earlier attempt may have run', async () => {
    const fixture = await createFixture({ check: () => undefined, runMs: 100 });
    const answer = fixture.send(lookup).then(fixture.readReply);
    await fixture.virtual.run(20);
    fixture.fleet.forEach(({ process }) => process.kill());
    const { problem } = await fixture.virtual.runUntil(answer);
    expect(problem?.notRun).toBe(false);
  });

  // Guards against a retry storm that multiplies the load on a fleet without capacity.
  it('stays within the retry budget when no endpoint is ready', async () => {
    const notReady: Refusal = { code: ResultCode.notReady, message: 'down', notRun: true };
    const fixture = await createFixture({ check: () => notReady });
    const requests = 400;
    for (let i = 0; i < requests; i += 1) {
      const { problem } = await fixture.ask(lookup);
      expect([problem?.notRun, typeof problem?.retryAfterMs]).toEqual([true, 'number']);
    }
    const retries = fixture.dispatches.length - requests;
    expect(retries).toBeLessThanOrEqual(
      requests * 0.1 + 20 + fixture.virtual.clock.monotonic() / 1_000,
    );
  });

  // Guards against refusing requests although the next frame may show capacity, and against waiting
  // requests that flood busy endpoints.
  it('waits until its deadline when every endpoint is busy, without a flood of dispatches', async () => {
    const fixture = await createFixture({ check: () => busy });
    const requests = 20;
    for (let i = 0; i < requests; i += 1) {
      const { problem } = await fixture.ask(lookup);
      expect([problem?.code, problem?.notRun, typeof problem?.retryAfterMs]).toEqual([
        ResultCode.deadlineExceeded,
        true,
        'number',
      ]);
    }
    const waitedSeconds = fixture.virtual.clock.monotonic() / 1_000;
    expect(fixture.dispatches.length).toBeLessThanOrEqual(requests * 5 + waitedSeconds * 3);
  });

  // Guards against must-arrive requests refused for lack of capacity, or retried without a pause.
  it('keeps a must-arrive request waiting until there is capacity', async () => {
    let isBusy = true;
    const fixture = await createFixture({ check: () => (isBusy ? busy : undefined) });
    const answer = fixture.send(photo).then(fixture.readReply);
    await fixture.virtual.run(120_000);
    const dispatches = fixture.dispatches.length;
    isBusy = false;
    expect((await fixture.virtual.runUntil(answer)).status).toBe(200);
    expect(dispatches).toBeLessThan((120_000 / 1_000) * 3 + 30);
  });

  // Guards against must-arrive requests that wait forever or end without an answer.
  it('refuses a must-arrive request as not run at its deadline', async () => {
    const fixture = await createFixture({ check: () => busy });
    const { status, problem } = await fixture.ask(photo);
    expect([status, problem?.code, problem?.notRun]).toEqual([504, 2002, true]);
  });

  // Guards against a request that crashes one endpoint after another.
  it('stops after three endpoints that failed while running the request', async () => {
    const failed = { code: ResultCode.endpointFailed, message: 'crash', notRun: false };
    const fixture = await createFixture({ agents: 8, check: () => failed });
    const { problem } = await fixture.ask(photo);
    expect([problem?.code, problem?.notRun, fixture.dispatches.length]).toEqual([4001, false, 3]);
  });
});
