import { expect, it } from 'vitest';
import type { Group } from '../src/raft/membership/group.js';
import { chooseGroupSize } from '../src/raft/membership/choose-group-size.js';
import { readGroupSize } from '../src/raft/membership/read-group-size.js';
import { updateGroupSize } from '../src/raft/membership/update-group-size.js';

const buildMembers = (voters: number, learners = 0): Group['members'] =>
  Array.from({ length: voters + learners }, (_, index) => ({
    ...{ id: `n-${index}`, address: `n-${index}`, diskId: `d-${index}` },
    role: index < voters ? 'voter' : 'learner',
  }));

// Guards against an even size, whose last voter bears no loss, and against two founders that are
// taken for a whole group.
it('chooses an odd size of three or more, but for a single founder', () => {
  expect([0, 1, 2, 3, 4, 5, 6, 7].map(chooseGroupSize)).toMatchInlineSnapshot(`
    [
      0,
      1,
      3,
      3,
      3,
      5,
      5,
      7,
    ]
  `);
});

// Guards against a size that a replacement raises: the voter that is gone then stays for good.
it('keeps its size while voters join and leave', () => {
  const group = { members: buildMembers(3), size: 3 };
  const sizes = [2, 3, 4, 5].map((voters) => updateGroupSize(group, buildMembers(voters, 1)));
  expect(sizes).toMatchInlineSnapshot(`
    [
      3,
      3,
      3,
      3,
    ]
  `);
});

// Guards against a group that stays at one voter when the others start late.
it('grows once two more voters have joined a single founder', () => {
  const group = { members: buildMembers(1), size: 1 };
  const sizes = [1, 2, 3].map((voters) => updateGroupSize(group, buildMembers(voters)));
  expect(sizes).toMatchInlineSnapshot(`
    [
      1,
      1,
      3,
    ]
  `);
});

// Guards against a group of an earlier version that keeps a voter which is gone for good.
it('derives the size of a group of an earlier version from its voters', () => {
  const sizes = [1, 2, 3, 4, 5, 6].map((voters) =>
    readGroupSize({ members: buildMembers(voters, 1) }),
  );
  expect(sizes).toMatchInlineSnapshot(`
    [
      1,
      3,
      3,
      3,
      5,
      5,
    ]
  `);
});
