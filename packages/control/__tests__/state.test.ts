import { applyCommand, createFleetState, decodeState, encodeState } from '@vanillarelay/control';
import type { Command, CommandResult, RecordView } from '@vanillarelay/core';
import fc from 'fast-check';
import { expect, it } from 'vitest';

const hourMs = 3_600_000;
const config = {
  dataCentres: { lahore: { region: 'punjab' }, multan: { region: 'punjab' } },
  services: {},
  accounts: {},
  concurrentLoads: 2,
};

/** A fleet state with its own clock and log index; it accepts commands as plain objects. */
const createMachine = () => {
  let state = createFleetState();
  let index = 0;
  let at = 1_000_000;
  return {
    wait: (ms: number) => {
      at += ms;
    },
    apply: (command: object): CommandResult => {
      index += 1;
      return applyCommand(state, command as Command, index, at);
    },
    change: (type: string, fields: object, changeId = `change-${index}`): CommandResult => {
      index += 1;
      const command = { type, changeId, operator: 'anna', ...fields } as unknown as Command;
      return applyCommand(state, command, index, at);
    },
    reload: () => {
      state = decodeState(encodeState(state));
    },
    readState: () => state,
  };
};

const key = { account: 'a', key: 'k' };
const claim = (nonce: string, attemptId: string, fields: object = {}) => ({
  ...{ type: 'claim', ...key, bodyHash: 'b', attemptId, endpoint: 'e1', incarnation: 1, nonce },
  ...fields,
});
const complete = (nonce: string, answer?: string) => ({
  ...{ type: 'complete', ...key, nonce, status: 200, contentType: 'text/plain' },
  ...(answer === undefined ? {} : { answer }),
});

/** Formats a result: `granted`, `ok`, or the code with the status of the record. */
const formatResult = (result: CommandResult): string => {
  if (result.ok) return (result.value as { granted?: boolean })?.granted ? 'granted' : 'ok';
  const view = result.details?.record as RecordView | undefined;
  return `${result.code}${view ? ` ${view.status}` : ''}`;
};

// Guards against a request that runs twice, or a false "not run".
it('grants one claim and answers each later one with the outcome of the first', () => {
  const { apply, reload, wait } = createMachine();
  const applyAll = (...commands: object[]) =>
    commands.map((command) => formatResult(apply(command)));
  const other = { endpoint: 'e2' };
  expect(applyAll(claim('n1', 't1'), claim('n1', 't1'), claim('n2', 't2', other))).toEqual([
    ...['granted', 'granted', '4005 running'],
  ]);
  expect(
    applyAll(claim('n3', 't3', { bodyHash: 'x' }), { type: 'void', ...key, attemptId: 't1' }),
  ).toEqual(['1006', '4005 running']);
  expect(applyAll({ type: 'void', ...key, attemptId: 't4' }, claim('n4', 't4'))).toEqual([
    ...['ok', '4008 running'],
  ]);
  // Abandoned before it ran: the next claim is granted; refused and abandoned nonces stay refused.
  expect(
    applyAll(
      { type: 'abandon', ...key, nonce: 'n1', ran: false },
      ...[claim('n1', 't1'), claim('n2', 't2', other), claim('n4', 't4'), claim('n5', 't5', other)],
    ),
  ).toEqual(['ok', '4008', '4008', '4008', 'granted']);
  reload();
  expect(applyAll(complete('n1', 'QQ=='), complete('n5', 'QQ=='), complete('n5'))).toEqual([
    ...['5004', 'ok', 'ok'],
  ]);
  wait(24 * hourMs - 1);
  expect(apply(claim('n6', 't6'))).toMatchObject({
    ok: false,
    code: 4009,
    details: { record: { status: 'done', answer: { status: 200, body: 'QQ==' } } },
  });
  // The tombstone refuses for seven days; after that the key counts as new.
  wait(1);
  expect(applyAll(claim('n7', 't7'), { type: 'void', ...key, attemptId: 't7' })).toEqual([
    ...['4007 unknown', 'ok'],
  ]);
  reload();
  wait(7 * 24 * hourMs - 1);
  expect(applyAll(claim('n8', 't8'))).toEqual(['4007 unknown']);
  wait(1);
  expect(applyAll(claim('n9', 't9'))).toEqual(['granted']);
});

// Guards against waiting for an answer that never comes, because the agent that ran it restarted.
it('marks claims of an earlier incarnation and of an abandoned run as unknown', () => {
  const { apply } = createMachine();
  apply(claim('n1', 't1'));
  apply(claim('m1', 's1', { key: 'k2' }));
  expect(formatResult(apply(claim('n2', 't2', { incarnation: 2 })))).toBe('4000 unknown');
  expect(formatResult(apply(claim('m2', 's2', { key: 'k2', endpoint: 'e2' })))).toBe(
    '4000 unknown',
  );
  // The answer of the earlier incarnation may still arrive; then it is known after all.
  expect(formatResult(apply(complete('n1', 'QQ==')))).toBe('ok');
  expect(formatResult(apply(claim('n3', 't3', { endpoint: 'e2' })))).toBe('4009 done');
  apply(claim('o1', 'r1', { key: 'k3', endpoint: 'e2' }));
  apply({ type: 'abandon', account: 'a', key: 'k3', nonce: 'o1', ran: true });
  expect(formatResult(apply(claim('o2', 'r2', { key: 'k3' })))).toBe('4000 unknown');
  // A claim that is abandoned before it arrives is never granted.
  apply({ type: 'abandon', account: 'a', key: 'k4', nonce: 'p1', ran: false });
  expect(formatResult(apply(claim('p1', 'q1', { key: 'k4' })))).toBe('4008');
  expect(formatResult(apply(claim('p2', 'q2', { key: 'k4' })))).toBe('granted');
  const large = 'A'.repeat(90_000);
  apply(claim('l1', 'x1', { key: 'k5' }));
  apply({ ...complete('l1', large), key: 'k5' });
  expect(formatResult(apply(claim('l2', 'x2', { key: 'k5' })))).toBe('4006 unkept');
});

const attempts = ['t1', 't2', 't3'];
const step = fc.oneof(
  fc.constantFrom(...attempts).map((id) => claim(`n-${id}`, id, { endpoint: `e-${id}` })),
  fc.constantFrom(...attempts).map((attemptId) => ({ type: 'void', ...key, attemptId })),
  fc
    .tuple(fc.constantFrom(...attempts), fc.boolean())
    .map(([id, ran]) => ({ type: 'abandon', ...key, nonce: `n-${id}`, ran })),
  fc.constantFrom(...attempts).map((id) => complete(`n-${id}`, 'QQ==')),
);

// Guards against two grants that may both run, whatever the order, loss and repetition of commands.
it('never grants a second attempt unless the first was abandoned as not run', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const { apply } = createMachine();
      let holder: string | undefined;
      const closed = new Set<string>();
      steps.forEach((command) => {
        const result = apply(command);
        const name = 'nonce' in command ? command.nonce : `n-${command.attemptId}`;
        if (command.type === 'claim' && result.ok) {
          expect(closed.has(name)).toBe(false);
          expect(holder ?? name).toBe(name);
          holder = name;
        }
        if (command.type === 'void' && result.ok) {
          expect(holder).not.toBe(name);
          closed.add(name);
        }
        if (command.type === 'abandon' && 'ran' in command && !command.ran && result.ok) {
          if (holder === name) holder = undefined;
          closed.add(name);
        }
      });
    }),
    { seed: 11, numRuns: 2_000 },
  );
});

// Guards against a lost update of the configuration, and against a misspelt take-out.
it('accepts a configuration only for the current version, and names the winner', () => {
  const { change, readState } = createMachine();
  expect(change('takeOutDataCentre', { dataCentre: 'lahor' })).toMatchObject({ code: 5004 });
  const first = change('applyConfig', { expectedVersion: 0, config }, 'first');
  expect(change('applyConfig', { expectedVersion: 0, config: {} }, 'second')).toMatchObject({
    code: 5002,
    details: { configVersion: 1, winner: { changeId: 'first', operator: 'anna' } },
  });
  expect(change('applyConfig', { expectedVersion: 7, config: {} }, 'first')).toBe(first);
  change('takeOutDataCentre', { dataCentre: 'multan' });
  const { version } = readState().daemon;
  expect(change('takeOutDataCentre', { dataCentre: 'multan' })).toMatchObject({
    value: { version },
  });
  change('drainEndpoint', { endpoint: 'e1', draining: true });
  const order = { endpoint: 'e1', action: 'loadModel', target: 'm' };
  expect(change('orderEngine', order)).toMatchObject({ ok: true, index: 8 });
  expect(readState().daemon.orders).toEqual([{ ...order, fencingToken: 8 }]);
  change('applyConfig', { expectedVersion: 1, config: { ...config, dataCentres: {} } });
  expect(readState().history.map(({ index, summary }) => `${index} ${summary}`))
    .toMatchInlineSnapshot(`
    [
      "2 dataCentres +lahore +multan; concurrentLoads 1 -> 2",
      "5 data centre multan out",
      "6 data centre multan out",
      "7 endpoint e1 draining",
      "8 endpoint e1: loadModel m",
      "9 dataCentres -lahore -multan",
    ]
  `);
});

// Guards against forgetting results too early, or keeping them without bound.
it('keeps the results of the last 10,000 changes', () => {
  const { change, readState, reload } = createMachine();
  const first = change('drainEndpoint', { endpoint: 'e', draining: true }, 'kept-0');
  for (let count = 1; count < 10_000; count += 1) {
    change('drainEndpoint', { endpoint: 'e', draining: count % 2 === 0 }, `kept-${count}`);
  }
  reload();
  expect(change('drainEndpoint', { endpoint: 'x', draining: true }, 'kept-0')).toEqual(first);
  change('drainEndpoint', { endpoint: 'e', draining: true }, 'one-more');
  expect([readState().changes.size, readState().changes.has('kept-0')]).toEqual([10_000, false]);
  expect(readState().history).toHaveLength(10_000);
});

// Guards against refusing harmless requests, and against rerunning one that crashes its endpoint.
it('convicts a request after a second crash that it caused alone', () => {
  const { apply, wait, change, readState, reload } = createMachine();
  const report = (crashId: string, ...fingerprints: string[]) =>
    apply({ type: 'reportCrash', endpoint: 'e1', incarnation: 1, fingerprints, crashId });
  const list = () =>
    readState().daemon.marks.map((mark) => `${mark.fingerprint} ${mark.status} ${mark.crashes}`);
  report('c1', 'f1', 'f2');
  report('c1', 'f1', 'f2');
  expect(list()).toEqual(['f1 suspect 1', 'f2 suspect 1']);
  report('c2', 'f1', 'f3');
  reload();
  report('c3', 'f1');
  report('c3', 'f1');
  expect(list()).toEqual(['f2 suspect 1', 'f3 suspect 1', 'f1 convicted 3']);
  apply({ type: 'clearMark', fingerprint: 'f2' });
  apply({ type: 'clearMark', fingerprint: 'f1' });
  expect(list()).toEqual(['f3 suspect 1', 'f1 convicted 3']);
  expect(change('liftMark', { fingerprint: 'f1' })).toMatchObject({ ok: true });
  expect(change('liftMark', { fingerprint: 'f1' })).toMatchObject({ code: 5004 });
  const { version } = readState().daemon;
  wait(600_000);
  apply({ type: 'releasePermit', endpoint: 'e1' });
  expect(list()).toEqual([]);
  expect(readState().daemon.version).toBeGreaterThan(version);
});

// Guards against weight loads above their limit, and against a dead loader that keeps its permit.
it('grants permits up to the limit and releases them after their lease', () => {
  const { apply, wait, change } = createMachine();
  change('applyConfig', { expectedVersion: 0, config });
  const take = (endpoint: string) => apply({ type: 'takePermit', endpoint, leaseMs: 5_000 });
  expect([take('e1').ok, take('e2').ok, take('e1').ok, take('e3').ok]).toEqual([
    ...[true, true, true, false],
  ]);
  expect(take('e3')).toMatchObject({ code: 5008, details: { retryAfterMs: 5_000 } });
  apply({ type: 'releasePermit', endpoint: 'e2' });
  expect([take('e3').ok, take('e4').ok]).toEqual([true, false]);
  wait(5_000);
  expect([take('e4').ok, take('e5').ok, take('e1').ok]).toEqual([true, true, false]);
});

// Guards against a snapshot that mixes the state of its index with that of later entries.
it('encodes the state as it was at the call while commands continue', () => {
  const { apply, change, readState, wait } = createMachine();
  const claimMany = (from: number) => {
    for (let count = from; count < from + 600; count += 1) {
      apply(claim(`n${count}`, 't', { key: `k${count}` }));
      change('drainEndpoint', { endpoint: 'e', draining: count % 2 === 0 });
    }
  };
  claimMany(0);
  const expected = [...encodeState(readState())];
  const parts: string[] = [];
  for (const part of encodeState(readState())) {
    parts.push(part);
    claimMany(parts.length * 600);
    apply({ ...complete('n1', 'QQ=='), key: 'k1' });
    wait(24 * hourMs);
  }
  expect(parts).toEqual(expected);
});
