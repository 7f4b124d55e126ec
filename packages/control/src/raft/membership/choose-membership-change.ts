import type { MemberStatus } from './member-status.js';
import type { MembershipChange } from './membership-change.js';
import type { NodeAddress } from './node-address.js';

interface MembershipState {
  members: MemberStatus[];
  /** Number of voters that the group keeps. */
  groupSize: number;
  /** Live nodes whose disk is known. */
  nodes: NodeAddress[];
}

/** Silence after which a member counts as lost; several heartbeats and a failed call. */
const silentAfterMs = 1_500;
/** Silence up to which a learner is sure to be running: two heartbeats. */
const responsiveMs = 500;
/**
 * Time that a learner replies before it becomes a voter beside the others. One that ends soon after
 * its start would be one more lost voter; one that takes a lost voter's seat is not.
 */
const settleMs = 2_000;
const maxVoters = 7;

/**
 * Chooses the next change of the membership, or undefined when it is as it should be. A silent voter
 * is removed where the group has more voters than it keeps; otherwise a learner that has caught up
 * takes its seat. Further learners become voters up to a maximum.
 */
export function chooseMembershipChange({
  members,
  groupSize,
  nodes,
}: MembershipState): MembershipChange | undefined {
  const voters = members.filter(({ role }) => role === 'voter');
  const learners = members.filter(({ role }) => role === 'learner');
  const lost = voters.find(isSilent);
  if (lost && voters.length > groupSize) return { type: 'removeVoter', diskId: lost.diskId };

  const isAlive = ({ diskId }: MemberStatus) => nodes.some((node) => node.diskId === diskId);
  const gone = learners.find((learner) => isSilent(learner) && !isAlive(learner));
  if (gone) return { type: 'removeLearner', diskId: gone.diskId };

  /** The voter whose seat a node takes: that of its own id, with an earlier disk, or a silent one. */
  const findSeat = (id: string) => voters.find((voter) => voter.id === id) ?? lost;
  const ready = learners.find(
    (learner) =>
      isReady(learner) &&
      (findSeat(learner.id) || (voters.length < maxVoters && learner.observedMs >= settleMs)),
  );
  if (ready) {
    const seat = findSeat(ready.id);
    return {
      ...{ type: 'promote', diskId: ready.diskId },
      ...(seat ? { lostDiskId: seat.diskId } : {}),
    };
  }

  const isMember = ({ diskId }: NodeAddress) => members.some((member) => member.diskId === diskId);
  const node = nodes.find(
    (other) => !isMember(other) && (findSeat(other.id) || members.length < maxVoters),
  );
  return node && { type: 'addLearner', node };
}

function isSilent({ silentMs }: MemberStatus): boolean {
  return silentMs >= silentAfterMs;
}

function isReady({ isCaughtUp, silentMs }: MemberStatus): boolean {
  return isCaughtUp && silentMs <= responsiveMs;
}
