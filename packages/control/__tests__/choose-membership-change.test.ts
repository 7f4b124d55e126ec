import { expect, it } from 'vitest';
import { chooseMembershipChange } from '../src/raft/membership/choose-membership-change.js';
import type { MemberStatus } from '../src/raft/membership/member-status.js';

const buildMember = (id: string, change: Partial<MemberStatus> = {}): MemberStatus => ({
  ...{ id, address: id, diskId: `disk of ${id}`, role: 'voter' },
  ...{ silentMs: 100, observedMs: 60_000, isCaughtUp: true, ...change },
});
const buildLearner = (id: string, change: Partial<MemberStatus> = {}) =>
  buildMember(id, { role: 'learner', ...change });
const buildNode = (id: string, diskId = `disk of ${id}`) => ({ id, address: id, diskId });
const three = ['a', 'b', 'c'].map((id) => buildMember(id));
const silent = { silentMs: 1_600 };

const choose = (members: MemberStatus[], nodes = members.map(({ id }) => buildNode(id))) => {
  const change = chooseMembershipChange({ members, nodes, groupSize: 3 });
  if (change?.type === 'addLearner') return `add ${change.node.diskId}`;
  if (change?.type === 'promote')
    return `promote ${change.diskId} for ${change.lostDiskId ?? 'none'}`;
  return change ? `${change.type} ${change.diskId}` : 'none';
};

// Guards against a lost voter that is kept beside one more than the group needs, or removed where
// the group then has fewer than it keeps.
it('removes a silent voter only from a group with a voter to spare', () => {
  const [a, b] = three as [MemberStatus, MemberStatus];
  const lost = buildMember('c', silent);
  expect([choose([a, b, lost]), choose([a, b, lost, buildMember('d')])]).toMatchInlineSnapshot(`
    [
      "none",
      "removeVoter disk of c",
    ]
  `);
});

// Guards against a learner that becomes a voter while it may already have ended.
it('makes a learner a voter that has caught up, replies and does so for a while', () => {
  const learners = [{}, { isCaughtUp: false }, { silentMs: 700 }, { observedMs: 1_000 }].map(
    (change) => buildLearner('d', change),
  );
  expect(learners.map((learner) => choose([...three, learner]))).toMatchInlineSnapshot(`
    [
      "promote disk of d for none",
      "none",
      "none",
      "none",
    ]
  `);
});

// Guards against a lost seat that waits for a learner that could take it.
it('gives the seat of a lost voter to a learner as soon as it has caught up', () => {
  const [a, b] = three as [MemberStatus, MemberStatus];
  const learner = buildLearner('d', { observedMs: 300 });
  const ownSeat = buildLearner('c', { diskId: 'new disk', observedMs: 300 });
  expect([choose([a, b, buildMember('c', silent), learner]), choose([...three, ownSeat])])
    .toMatchInlineSnapshot(`
    [
      "promote disk of d for disk of c",
      "promote new disk for disk of c",
    ]
  `);
});

// Guards against learners that stay in the group after they are gone.
it('removes a silent learner that no daemon reports any more', () => {
  const learner = buildLearner('d', silent);
  const alive = ['a', 'b', 'c'].map((id) => buildNode(id));
  expect([choose([...three, learner], alive), choose([...three, learner])]).toMatchInlineSnapshot(`
    [
      "removeLearner disk of d",
      "none",
    ]
  `);
});

// Guards against nodes that are added beyond the largest group, or not added below it.
it('adds a live node that is no member, up to seven members', () => {
  const seven = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((id) => buildMember(id));
  const nodes = [...'abcdefgh'].map((id) => buildNode(id));
  expect([choose(three, nodes), choose(seven, nodes), choose(seven, [buildNode('a', 'new disk')])])
    .toMatchInlineSnapshot(`
    [
      "add disk of d",
      "none",
      "add new disk",
    ]
  `);
});
