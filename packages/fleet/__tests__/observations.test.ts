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
  versions: {
    7: {
      chat: {
        ...{ old: [9, 1, 3, 0], new: [2, 1, 2, 1], matched: [0.3, 0.03, 0.01] },
        endpoints: { e1: [1, 1, 1, 1] },
      },
    },
  },
  work: { e1: 12 },
  demand: { desk: { '1 a': [2, 3] } },
  heldTokens: { e1: 900 },
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
    ['versions', { 7: { chat: { old: [1, 2, 3], new: [1, 2, 3, 4], matched: [0, 0, 0] } } }],
    ['versions', { 7: { chat: { ...sound.versions[7].chat, endpoints: { e1: [1, -1, 0, 0] } } } }],
    ['versions', { 7: null }],
    ['work', { e1: '12' }],
    ['work', { e1: -1 }],
    ['loads', []],
    ['lateRouters', '1'],
    ['lateRouters', -1],
    ['demand', { desk: { '1 a': [2] } }],
    ['demand', { desk: null }],
    ['heldTokens', { e1: '900' }],
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
      const parts = [received, sound].map((each) => buildObservations(checkObservations(each)));
      const sum = mergeObservations(parts.map((each) => addObservationAge(each, 10)));
      return isAccepted(JSON.parse(JSON.stringify(sum)));
    }),
    { seed, numRuns: 3_000 },
  );
});

// Guards against late routers that are counted wrong beside daemons of an older version, and against
// bytes in each exchange while none is late.
it('counts the routers that say that they are late', () => {
  const parts = [{ lateRouters: 1 }, {}, { lateRouters: 2 }].map(buildObservations);
  expect(mergeObservations(parts).lateRouters).toBe(3);
  expect(mergeObservations([buildObservations()])).not.toHaveProperty('lateRouters');
});

// Guards against answers of a roll-out that are lost in the sum, also beside daemons of an older
// version, which report none.
it('sums the answers by roll-out, route, side and endpoint', () => {
  const older = { loads: {}, outcomes: {} };
  const received = [sound, older, sound].map((each) => buildObservations(checkObservations(each)));
  const { versions } = mergeObservations(received);
  expect(versions).toEqual({
    7: {
      chat: {
        ...{ old: [18, 2, 6, 0], new: [4, 2, 4, 2], matched: [0.6, 0.06, 0.02] },
        endpoints: { e1: [2, 2, 2, 2] },
      },
    },
  });
  expect('versions' in mergeObservations([buildObservations(older)])).toBe(false);
});

// Guards against a share in places that is computed from demand which has long gone, and against an
// exchange that fails between daemons of different versions.
it('drops demand that is 1 s old, and sends none when nothing waits', () => {
  const received = buildObservations(checkObservations(sound));
  const { demand, heldTokens, ...older } = received;
  const sum = mergeObservations([buildObservations(older), received]);
  const aged = [1_000, 1_001].map((ms) => addObservationAge(sum, ms).demand);
  expect([sum.demand, sum.heldTokens, aged]).toEqual([demand, heldTokens, [demand, undefined]]);
  expect(Object.keys(mergeObservations([buildObservations(older)]))).not.toContain('demand');
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
