import type { EndpointTableRow, VersionSides } from '@vanillarelay/routing';
import { expect, it } from 'vitest';
import type { AttemptOutcome } from '../src/requests/attempt/attempt-outcome.js';
import { recordVersionOutcome } from '../src/requests/attempt/record-version-outcome.js';
import { selectVersions } from '../src/requests/placing/select-versions.js';

const service = 'desk' as never;

function select(
  sides: VersionSides | undefined,
  endpoints: Record<string, [version: string | undefined, bornAt: number]>,
  tried: string[] = [],
) {
  const rows = Object.entries(endpoints).map(([id, [version, bornAt]]) => ({
    record: { id, bornAt, ...(version === undefined ? {} : { version }) },
  })) as unknown as EndpointTableRow[];
  const retries: boolean[] = [];
  const rollouts = {
    chooseSides: (_: unknown, __: unknown, isRetry: boolean) => {
      retries.push(isRetry);
      return sides;
    },
  };
  const request = { key: 'chat-1', tried: new Set(tried as never[]) };
  const selected = selectVersions({ rollouts: rollouts as never }, service, rows, request);
  return {
    rows: selected.rows.map(({ record }) => record.id),
    preferred: selected.preferred && [...selected.preferred],
    retries,
  };
}

// Guards against requests at the endpoints of a next version before there is an order for it, also
// after an earlier version was rolled back.
it('uses the version that has run for longest without an order', () => {
  const endpoints: Record<string, [string | undefined, number]> = {
    ...{ a: ['v3', 30], b: ['v1', 10], c: ['v2', 20], d: ['v1', 40] },
  };
  const rolledBack: VersionSides = { to: 'v1', onTo: 'excluded', onOthers: 'preferred' };
  expect([
    select(undefined, endpoints).rows,
    select(rolledBack, endpoints).rows,
    select(undefined, { a: [undefined, 3], b: [undefined, 2] }).rows,
    select(undefined, { a: ['v2', 3], b: [undefined, 2] }).rows,
    select(undefined, {}).rows,
  ]).toEqual([['b', 'd'], ['c'], ['a', 'b'], ['b'], []]);
});

// Guards against a new version that gets requests because the old one is only busy, and against a
// service that refuses all requests when the old one is gone.
it('uses a last resort only when no other endpoint accepts requests', () => {
  const sides: VersionSides = { to: 'v2', onTo: 'lastResort', onOthers: 'preferred' };
  expect([
    select(sides, { a: ['v1', 1], b: ['v2', 2] }, ['b']),
    select(sides, { b: ['v2', 2] }),
  ]).toEqual([
    { rows: ['a'], preferred: ['a'], retries: [true] },
    { rows: ['b'], preferred: undefined, retries: [false] },
  ]);
});

it('prefers the new version on the new side, with the old one behind it', () => {
  const sides: VersionSides = { to: 'v2', onTo: 'preferred', onOthers: 'fallback' };
  expect(select(sides, { a: ['v1', 1], b: ['v2', 2] })).toEqual({
    ...{ rows: ['a', 'b'], preferred: ['b'], retries: [false] },
  });
});

function readRecorded(
  outcome: AttemptOutcome,
  { hasLeft = false, isStopping = false, ms = undefined as number | undefined } = {},
): boolean | undefined {
  const recorded: boolean[] = [];
  const rollouts = { recordOutcome: ({ isBad }: { isBad: boolean }) => recorded.push(isBad) };
  recordVersionOutcome(
    { rollouts: rollouts as never, stopSignal: { aborted: isStopping } as AbortSignal },
    { route: { name: 'chat' }, caller: { signal: { aborted: hasLeft } } } as never,
    { service, affinityKey: 'chat-1' },
    { id: 'e1', version: 'v2' } as never,
    outcome,
    ms,
  );
  return recorded[0];
}

// Guards against a version that is blamed for callers who leave or for endpoints that are full, and
// against failures that are overlooked.
it('takes failures of endpoints as bad answers, and what others cause as none', () => {
  const failed = { type: 'failed', reason: 'silent', isSilent: true } as const;
  const rejected = { type: 'notRun', reason: 'full', cause: 'rejected' } as const;
  const unreachable = { type: 'notRun', reason: 'refused', cause: 'refused' } as const;
  expect({
    answered: readRecorded({ type: 'answered', status: 200 }),
    refusedByRule: readRecorded({ type: 'answered', status: 404 }),
    serverError: readRecorded({ type: 'answered', status: 500 }),
    failed: readRecorded(failed),
    broken: readRecorded({ type: 'broken', reason: 'cut off' }),
    full: readRecorded(rejected),
    unreachable: readRecorded(unreachable),
    deadline: readRecorded({ type: 'cancelled' }),
    deadlineAfterStart: readRecorded({ type: 'cancelled' }, { ms: 40 }),
    callerLeft: readRecorded({ type: 'cancelled' }, { hasLeft: true }),
    stopping: readRecorded({ type: 'cancelled' }, { isStopping: true }),
  }).toEqual({
    ...{ answered: false, refusedByRule: false, serverError: true, failed: true, broken: true },
    ...{ full: undefined, unreachable: undefined, deadline: true },
    ...{ deadlineAfterStart: undefined, callerLeft: undefined, stopping: undefined },
  });
});
