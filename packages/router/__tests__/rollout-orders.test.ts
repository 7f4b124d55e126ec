import { ResultCode, type ServiceId } from '@vanillarelay/core';
import type { AgedRollout } from '@vanillarelay/fleet';
import type { Rollout } from '@vanillarelay/routing';
import { expect, it } from 'vitest';
import { createControlCalls } from '../src/daemon/create-control-calls.js';
import { createRolloutLog } from '../src/daemon/create-rollout-log.js';

const service = 'desk' as ServiceId;
const order = { service, to: 'v2', durationMs: 12_000 };

/** Creates the calls of a daemon whose fleet confirms a configuration with the given services. */
const createCalls = (confirmed: string[], result: object = { ok: true, index: 4 }) => {
  const proposed: unknown[] = [];
  const calls = createControlCalls({
    clock: { monotonic: () => 0, now: () => 1_000 },
    node: {
      propose: async (command: unknown) => {
        proposed.push(command);
        return result;
      },
      readConfirmedState: async () => ({ version: confirmed.length, source: '', rollouts: {} }),
    } as never,
    endpoints: undefined as never,
    inputAge: { startAge: () => () => 0, observeConnection: () => {} },
    log: { write: () => {} } as never,
    decodeConfig: () => ({ services: confirmed.map((id) => ({ id })) }) as never,
    hasService: (id) => id === ('known' as ServiceId),
    ...{ isReady: () => true, hasState: () => true, recordOrder: () => {} },
  });
  const start = async (change: object = {}) => {
    try {
      const { signal } = new AbortController();
      await calls.startRollout({ ...order, ...change }, { signal, readAgeMs: () => 0 });
      return 'accepted';
    } catch (error) {
      return (error as { code?: number }).code;
    }
  };
  return { start, proposed, calls };
};

// Guards against refusing a service of a configuration that has not arrived at this daemon yet.
it('refuses an unknown service only when the confirmed configuration lacks it', async () => {
  const known = createCalls([]);
  const newer = createCalls(['desk']);
  const unknown = createCalls(['mail']);
  const none = createCalls([]);
  expect([
    await known.start({ service: 'known' }),
    await newer.start(),
    await unknown.start(),
    await none.start(),
  ]).toEqual(['accepted', 'accepted', ResultCode.unknownService, ResultCode.unknownService]);
  expect([newer.proposed, unknown.proposed]).toEqual([
    [{ type: 'startRollout', ...order, startedAt: 1_000 }],
    [],
  ]);
  expect(await newer.calls.readRollout(service)).toBeUndefined();
});

// Guards against an acknowledgement of an order that was refused.
it('passes a conflict on', async () => {
  const refusal = { ok: false, code: ResultCode.rolloutConflict, message: 'v3 is in progress' };
  expect(await createCalls(['desk'], refusal).start()).toBe(ResultCode.rolloutConflict);
});

// Guards against lines that are missing, repeated, or written again after each start of a daemon.
it('logs each start and end of a roll-out once', () => {
  const lines: unknown[] = [];
  const logRollouts = createRolloutLog({ write: (...line) => lines.push(line) });
  const build = (state: Rollout['state'], startIndex = 5): AgedRollout => {
    const rollout = { to: 'v2', durationMs: 12_000, state, startIndex, lastIndex: 5, startedAt: 0 };
    return { service, rollout, ageMs: 100 };
  };
  const states = [
    build('rolledBack', 2),
    build('inProgress'),
    build('inProgress'),
    build('completed'),
    build('completed'),
    build('rolledBack', 9),
  ];
  states.forEach((rollout) => logRollouts([rollout]));
  expect(lines).toMatchSnapshot();
});
