import type { EndpointTableRow, VersionSides } from '@vanillarelay/routing';
import { expect, it } from 'vitest';
import type { AttemptOutcome } from '../src/requests/attempt/attempt-outcome.js';
import { recordVersionOutcome } from '../src/requests/attempt/record-version-outcome.js';
import { selectVersions } from '../src/requests/placing/select-versions.js';

const service = 'desk' as never;
const now = 10_000;

function select(
  sides: VersionSides | undefined,
  endpoints: Record<string, [version: string | undefined, firstSeenAt: number]>,
  tried: string[] = [],
) {
  const rows = Object.entries(endpoints).map(([id, [version, firstSeenAt]]) => ({
    record: { id, ...(version === undefined ? {} : { version }) },
    firstSeenAt,
  })) as unknown as EndpointTableRow[];
  const retries: boolean[] = [];
  const rollouts = {
    chooseSides: (_: unknown, __: unknown, isRetry: boolean) => {
      retries.push(isRetry);
      return sides;
    },
  };
  const request = { key: 'chat-1', tried: new Set(tried as never[]) };
  const context = { clock: { monotonic: () => now } as never, rollouts: rollouts as never };
  const selected = selectVersions(context, service, rows, request);
  return {
    rows: selected.rows.map(({ record }) => record.id),
    preferred: selected.preferred && [...selected.preferred],
    retries,
  };
}

// Guards against requests at the endpoints of a next version before the order for it is known, and
// against a service without roll-outs that loses the endpoints of one of its versions.
it('leaves out a version that is new beside one that was known before', () => {
  expect([
    select(undefined, { a: ['v1', 0], b: ['v2', 8_000], c: ['v1', 9_000] }).rows,
    select(undefined, { a: ['v1', 0], b: ['v2', 7_000] }).rows,
    select(undefined, { a: ['v1', 9_000], b: ['v2', 9_400] }).rows,
    select(undefined, { a: [undefined, 0], b: ['v2', 8_000] }).rows,
    select(undefined, { a: ['v2', 9_900] }).rows,
    select(undefined, {}).rows,
  ]).toEqual([['a', 'c'], ['a', 'b'], ['a', 'b'], ['a'], ['a'], []]);
});

// Guards against requests at versions that were rolled back, also while a later one is rolled out.
it('leaves out versions that were rolled back', () => {
  const excluded = new Set(['v2', 'v3']);
  const rolledBack: VersionSides = { to: 'v3', onTo: 'excluded', onOthers: 'preferred', excluded };
  const next: VersionSides = { to: 'v4', onTo: 'preferred', onOthers: 'fallback', excluded };
  const endpoints: Record<string, [string, number]> = {
    ...{ a: ['v1', 0], b: ['v2', 0], c: ['v3', 0], d: ['v4', 0] },
  };
  expect([select(rolledBack, endpoints).rows, select(next, endpoints).rows]).toEqual([
    ['a', 'd'],
    ['a', 'd'],
  ]);
});

// Guards against requests at a version that this router found bad while the old one is full, until a
// quorum has recorded the roll-back.
it('leaves out a version that is found bad while its roll-out is in progress', () => {
  const foundBad: VersionSides = {
    to: 'v2',
    onTo: 'excluded',
    onOthers: 'preferred',
    excluded: new Set(),
  };
  expect([
    select(foundBad, { a: ['v1', 0], b: ['v2', 0] }).rows,
    select(foundBad, { b: ['v2', 0] }).rows,
  ]).toEqual([['a'], []]);
});

// Guards against a new version that gets requests because the old one is only busy, and against a
// service that refuses all requests when the old one is gone.
it('uses a last resort only when no other endpoint accepts requests', () => {
  const sides: VersionSides = {
    to: 'v2',
    onTo: 'lastResort',
    onOthers: 'preferred',
    excluded: new Set(),
  };
  expect([
    select(sides, { a: ['v1', 1], b: ['v2', 2] }, ['b']),
    select(sides, { b: ['v2', 2] }),
  ]).toEqual([
    { rows: ['a'], preferred: ['a'], retries: [true] },
    { rows: ['b'], preferred: undefined, retries: [false] },
  ]);
});

it('prefers the new version on the new side, with the old one behind it', () => {
  const sides: VersionSides = {
    to: 'v2',
    onTo: 'preferred',
    onOthers: 'fallback',
    excluded: new Set(),
  };
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
