import fc from 'fast-check';
import { expect, it } from 'vitest';
import { buildObservations } from '../src/messages/build-observations.js';
import { checkObservations } from '../src/messages/check-observations.js';
import { addObservationAge } from '../src/sync/add-observation-age.js';
import { mergeObservations } from '../src/sync/merge-observations.js';

const seed = 20_261_205;
const sound = {
  loads: { e1: 2 },
  outcomes: { e1: [3, 1] },
  crashes: { s1: { c1: { ageMs: 5 } } },
  rates: { e1: { limitPerS: 4, ageMs: 5, demandPerS: 6 } },
  notices: { e1: { bornAt: 1, isLeaving: false, waitMs: 7 } },
  work: { e1: 12 },
};

const isAccepted = (received: unknown): boolean => {
  try {
    checkObservations(received);
    return true;
  } catch {
    return false;
  }
};

// Guards against one odd report that makes a hub fail to answer all of its daemons.
it('refuses observations with a value of another type', () => {
  const odd: [string, unknown][] = [
    ['loads', { e1: '2' }],
    ['outcomes', { e1: null }],
    ['outcomes', { e1: [1] }],
    ['crashes', { s1: { c1: null } }],
    ['rates', { e1: { ageMs: 5, demandPerS: '6' } }],
    ['notices', { e1: { bornAt: 1, waitMs: 7 } }],
    ['work', { e1: '12' }],
    ['work', { e1: -1 }],
    ['loads', []],
  ];
  const isOddAccepted = odd.map(([name, part]) => isAccepted({ ...sound, [name]: part }));
  expect([isAccepted(sound), isAccepted({}), isAccepted(null), isOddAccepted]).toEqual([
    ...[true, true, false, odd.map(() => false)],
  ]);
});

// Guards against values that pass the check and break the sums for all daemons.
it('sums whatever it accepts, and the sums stay numbers', () => {
  const key = fc.oneof(fc.string(), fc.constantFrom('e1', '__proto__', 'constructor'));
  const value = fc.oneof(fc.anything(), fc.nat(), fc.tuple(fc.nat(), fc.nat()));
  const part = fc.dictionary(key, fc.oneof(value, fc.dictionary(key, value)));
  const names = fc.constantFrom(...Object.keys(sound));
  fc.assert(
    fc.property(names, part, (name, odd) => {
      const received = { ...sound, [name]: odd };
      if (!isAccepted(received)) return true;
      const parts = [buildObservations(received), buildObservations(sound)];
      const sum = mergeObservations(parts.map((each) => addObservationAge(each, 10)));
      return isAccepted(JSON.parse(JSON.stringify(sum)));
    }),
    { seed, numRuns: 3_000 },
  );
});

// Guards against work that a late report names although the endpoint has done it meanwhile, and
// against zeros and fractions, which cost bytes in each exchange.
it('adds the work of several daemons, halves it with its age and leaves out zero', () => {
  const parts = [{ e1: 100, e2: 1 }, { e1: 61 }, {}].map((work) =>
    addObservationAge(buildObservations({ work }), 800),
  );
  expect(mergeObservations(parts).work).toEqual({ e1: 81, e2: 1 });
  const old = addObservationAge(buildObservations({ work: { e2: 1 } } as never), 1_600);
  expect(mergeObservations([old, buildObservations({})]).work).toEqual({});
});
