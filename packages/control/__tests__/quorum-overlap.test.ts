import { expect, it } from 'vitest';
import { computeQuorumValue } from '../src/raft/membership/compute-quorum-value.js';
import type { Group } from '../src/raft/membership/group.js';
import { replaceDisk } from '../src/raft/membership/replace-disk.js';

const allDisks = ['a1', 'a2', 'b1', 'b2', 'c1', 'd1', 'e1'];

/** Builds a membership; the first character of a disk is the id of its node. */
const buildGroup = (...disks: string[]): Group => ({
  members: disks.map((diskId) => {
    const id = diskId.charAt(0);
    return { id, address: id, diskId, role: 'voter' as const };
  }),
  size: 3,
});

/** Every set of disks whose votes or acknowledgements are a quorum. */
const listQuorums = (groups: Group[]): Set<string>[] =>
  Array.from({ length: 2 ** allDisks.length }, (_, bits) =>
    allDisks.filter((_disk, position) => Math.floor(bits / 2 ** position) % 2 === 1),
  )
    .map((disks) => new Set(disks))
    .filter((disks) => computeQuorumValue(groups, (disk) => Number(disks.has(disk))) === 1);

const hasCommonDisk = (one: Set<string>, other: Set<string>): boolean =>
  [...one].some((disk) => other.has(disk));

/** Whether each one counts a new disk of a node of which the other one counts the lost disk. */
const areOpposed = (one: Set<string>, other: Set<string>): boolean =>
  (one.has('a1') && one.has('b2') && other.has('a2') && other.has('b1')) ||
  (one.has('a2') && one.has('b1') && other.has('a1') && other.has('b2'));

const findDisjoint = (one: Group[], other: Group[]): string[] => {
  const others = listQuorums(other);
  return listQuorums(one).flatMap((first) =>
    others
      .filter((second) => !hasCommonDisk(first, second) && !areOpposed(first, second))
      .map((second) => `${[...first].join(' ')} | ${[...second].join(' ')}`),
  );
};

const even = buildGroup('a1', 'b1', 'c1', 'd1');
const odd = buildGroup('a1', 'b1', 'c1');
const pair = buildGroup('a1', 'b1');
const listChanges = (group: Group): Group[] => {
  const disks = group.members.map(({ diskId }) => diskId);
  return [
    buildGroup(...disks, 'e1'),
    ...disks.map((removed) => buildGroup(...disks.filter((disk) => disk !== removed))),
    replaceDisk(group, 'a1', 'a2'),
    replaceDisk(group, 'b1', 'b2'),
    replaceDisk(replaceDisk(group, 'a1', 'a2'), 'b1', 'b2'),
  ].filter(({ members }) => members.length > 0);
};

// Guards against two quorums without a common disk, of which one does not know what the other one
// accepted: any two leaders whose memberships have one in common, whichever changes they have begun.
it.each([
  ['four voters', even],
  ['three voters', odd],
  ['two voters', pair],
])('lets any two quorums share a disk while a group of %s changes', (_, group) => {
  const chains = [[group], ...listChanges(group).map((changed) => [group, changed])];
  const disjoint = chains.flatMap((one) => chains.flatMap((other) => findDisjoint(one, other)));
  expect(disjoint).toEqual([]);
  const longer = listChanges(group).flatMap((changed) =>
    listChanges(changed).flatMap((last) => findDisjoint([group, changed, last], [changed])),
  );
  expect(longer).toEqual([]);
});

// Guards against a new disk that counts in a group of three, or a second one in a group of four.
it('counts one new disk in an even group and none in an odd one', () => {
  const isQuorum = (group: Group, replaced: string[], disks: string[]) => {
    const newest = replaced.reduce(
      (result, disk) => replaceDisk(result, `${disk}1`, `${disk}2`),
      group,
    );
    return computeQuorumValue([group, newest], (disk) => Number(disks.includes(disk))) === 1;
  };
  expect({
    oneOfFour: isQuorum(even, ['b'], ['b2', 'c1', 'd1']),
    twoOfFour: isQuorum(even, ['a', 'b'], ['a2', 'b2', 'd1']),
    twoOfFourOneCounted: isQuorum(even, ['a', 'b'], ['a2', 'b2', 'c1', 'd1']),
    oneOfThree: isQuorum(odd, ['b'], ['b2', 'c1']),
    oneOfThreeSpare: isQuorum(odd, ['b'], ['a1', 'b2', 'c1']),
    oneOfTwo: isQuorum(pair, ['b'], ['a1', 'b2']),
    nobodyOfTwo: isQuorum(pair, ['a', 'b'], ['a2', 'b2']),
  }).toMatchInlineSnapshot(`
    {
      "nobodyOfTwo": false,
      "oneOfFour": true,
      "oneOfThree": false,
      "oneOfThreeSpare": true,
      "oneOfTwo": true,
      "twoOfFour": false,
      "twoOfFourOneCounted": true,
    }
  `);
});

// Guards against a checker that finds nothing: were only the newest membership asked, a removal and a
// new disk on the two sides of a split would both be accepted.
it('finds quorums without a common disk where only the newest membership counts', () => {
  const removed = buildGroup('b1', 'c1', 'd1');
  const replaced = replaceDisk(even, 'b1', 'b2');
  expect(findDisjoint([removed], [even, replaced])).toContain('b1 c1 | a1 b2 d1');
  expect(findDisjoint([even, removed], [even, replaced])).toEqual([]);
});
