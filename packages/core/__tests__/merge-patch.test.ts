import { applyMergePatch, buildMergePatch } from '@vanillarelay/core';
import fc from 'fast-check';
import { expect, it } from 'vitest';

const seed = 31;

const { value } = fc.letrec((tie) => ({
  value: fc.oneof(
    { maxDepth: 4 },
    fc.integer({ min: 0, max: 5 }),
    fc.array(fc.integer({ min: 0, max: 3 }), { maxLength: 3 }),
    fc.dictionary(fc.constantFrom('a', 'b', 'c'), tie('value'), { maxKeys: 3 }),
  ),
}));
const state = fc.record({ version: fc.integer(), config: value });

// Guards against a daemon whose patched state differs from the hub's.
it('turns any state into any other state', () => {
  fc.assert(
    fc.property(state, state, (from, to) => {
      const original = JSON.stringify(from);
      const patch: unknown = JSON.parse(JSON.stringify(buildMergePatch(from, to) ?? {}));
      expect(applyMergePatch(from, patch)).toEqual(to);
      expect(JSON.stringify(from)).toBe(original);
    }),
    { seed, numRuns: 500 },
  );
});

// Guards against prototype pollution by a message.
it('ignores a key that would replace the prototype', () => {
  const patch: unknown = JSON.parse('{"__proto__": {"polluted": 1}, "a": 2}');
  const result = applyMergePatch({}, patch) as Record<string, unknown>;
  expect([result, result.polluted]).toEqual([{ a: 2 }, undefined]);
});
