import { RelayError, ResultCode, type ServiceId } from '@vanillarelay/core';
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { applySharedCommand } from '../src/state/apply-shared-command.js';
import { checkRolloutProposal } from '../src/messages/check-rollout-proposal.js';
import { createSharedStateMachine } from '../src/state/create-shared-state-machine.js';
import { emptySharedState } from '../src/state/empty-shared-state.js';
import type { EndRollout } from '../src/state/end-rollout.js';
import { findRollout } from '../src/state/find-rollout.js';
import type { SharedState } from '../src/state/shared-state.js';
import type { StartRollout } from '../src/state/start-rollout.js';

type Command = StartRollout | EndRollout;

const seed = 20_261_206;
const service = 'desk' as ServiceId;
const start = (to: string, base?: number, change: Partial<StartRollout> = {}): StartRollout => ({
  ...{ type: 'startRollout', service, to, durationMs: 12_000, startedAt: 1_000 },
  ...(base === undefined ? {} : { base }),
  ...change,
});
const end = (startIndex: number, outcome: EndRollout['outcome'] = 'rolledBack'): EndRollout => ({
  ...{ type: 'endRollout', service, startIndex, outcome },
});

const apply = (state: SharedState, command: Command, index: number): [SharedState, string] => {
  try {
    const next = applySharedCommand(state, command, index);
    return [next, next === state ? 'no effect' : 'applied'];
  } catch (error) {
    const { code } = error as RelayError;
    return [state, code === ResultCode.rolloutConflict ? 'conflict' : `code ${code}`];
  }
};

/** Applies commands in order, from index 1; returns how each ended, and the last roll-out. */
const applyAll = (commands: Command[]) => {
  let state: SharedState = emptySharedState;
  const results = commands.map((command, position) => {
    const [next, result] = apply(state, command, position + 1);
    state = next;
    const { to, state: now } = findRollout(state, command.service) ?? {};
    return `${result}: ${to ?? 'none'} ${now ?? ''}`;
  });
  return { results, rollout: findRollout(state, service) };
};

// Guards against a repeated, late or conflicting command that changes a roll-out.
it.each([
  ['a repeated start', [start('v2', 0), start('v2', 0), start('v2', 1)]],
  ['two operators at once', [start('v2', 0), start('v3', 0), start('v3', 1)]],
  ['a repeated end', [start('v2', 0), end(1), end(1)]],
  ['two verdicts', [start('v2', 0), end(1, 'completed'), end(1, 'rolledBack')]],
  ['an end without a start', [end(1), start('v2', 0), end(9)]],
  ['a late start after the end', [start('v2', 0), end(1), start('v2', 0), start('v2', 1)]],
  ['a start on top of the end', [start('v2', 0), end(1), start('v2', 2), end(1), end(3)]],
  ['another version after the end', [start('v2', 0), end(1, 'completed'), start('v3', 2)]],
  ['a start without a base', [start('v2'), end(1), start('v2')]],
  ['another service', [start('v2', 0), start('v9', 0, { service: 'mail' as ServiceId }), end(2)]],
  ['the name of an inherited property', [start('v2', 0, { service: 'toString' as ServiceId })]],
])('applies %s', (_, commands) => {
  expect(applyAll(commands)).toMatchSnapshot();
});

// Guards against a state that leaves `completed` or `rolledBack`, or an end of another roll-out.
it('never changes a roll-out that has ended', () => {
  const index = fc.nat(12);
  const command = fc.oneof(
    fc.tuple(fc.constantFrom('v2', 'v3'), index).map(([to, base]) => start(to, base)),
    fc
      .tuple(index, fc.constantFrom('completed' as const, 'rolledBack' as const))
      .map(([startIndex, outcome]) => end(startIndex, outcome)),
  );
  const property = fc.property(fc.array(command, { maxLength: 12 }), (commands) => {
    let state: SharedState = emptySharedState;
    commands.forEach((next, position) => {
      const before = findRollout(state, service);
      [state] = apply(state, next, position + 1);
      const after = findRollout(state, service);
      if (after === before || before?.state === 'inProgress') return;
      // Only a start that was proposed after the end replaces a roll-out that has ended.
      expect(after?.startIndex).toBe(position + 1);
      expect((next as StartRollout).base).toBeGreaterThanOrEqual(before?.lastIndex ?? 0);
    });
  });
  fc.assert(property, { seed, numRuns: 2_000 });
});

// Guards against a state machine that cannot read its own snapshot or one of an earlier version.
it('reads snapshots with and without roll-outs', () => {
  const machine = createSharedStateMachine(() => {});
  machine.apply({ kind: 'command', data: JSON.stringify(start('v2', 0)), index: 7 } as never);
  const copy = createSharedStateMachine(() => {});
  copy.install([...machine.encode()]);
  const old = createSharedStateMachine(() => {});
  old.install([
    JSON.stringify({ ...emptySharedState, rollouts: undefined, rolloutStarts: undefined }),
  ]);
  expect({
    same: copy.readState().rollouts,
    old: old.readState().rollouts,
  }).toEqual({ same: machine.readState().rollouts, old: {} });
  expect(findRollout(copy.readState(), service)?.startIndex).toBe(7);
});

// Guards against a proposal of another writer whose values spoil the state of all daemons.
it('refuses proposals with odd values', () => {
  const isValid = (change: object, proposal: Command) => {
    try {
      checkRolloutProposal({ ...proposal, ...change });
      return true;
    } catch {
      return false;
    }
  };
  const odd = fc.constantFrom(undefined, null, '', 'x'.repeat(300), -1, NaN, Infinity, [], {});
  const property = fc.property(odd, (value) => {
    const starts = ['service', 'to', 'durationMs', 'startedAt'];
    const ends = ['service', 'startIndex', 'outcome'];
    return (
      !starts.some((field) => isValid({ [field]: value }, start('v2', 0))) &&
      !ends.some((field) => isValid({ [field]: value }, end(1)))
    );
  });
  fc.assert(property, { seed });
  expect([isValid({}, start('v2', 0)), isValid({}, start('v2')), isValid({}, end(1))]).toEqual([
    true,
    true,
    true,
  ]);
});
