import type { Clock, EventDetails } from '@vanillarelay/core';
import type { GroupMember } from './group-member.js';
import type { createRaftNode } from './create-raft-node.js';

interface MembershipOptions {
  clock: Clock;
  node: Pick<ReturnType<typeof createRaftNode>, 'readStatus' | 'replaceMember' | 'removeMember'>;
  /** Live control nodes whose disk is known. */
  listNodes: () => { id: string; address: string; diskId: string }[];
  /** Ids of the members that have not replied to the leader for longer than `ms`. */
  listSilent: (ms: number) => string[];
  record: (name: string, details: EventDetails) => void;
  signal: AbortSignal;
}

const checkIntervalMs = 300;
/** A voter that is silent for this long is replaced when another node is available. */
const replaceAfterMs = 1_500;
/** A voter that is silent for this long is removed when there are more voters than the group keeps. */
const removeAfterMs = 6_000;
const maxVoters = 7;

/**
 * The leader's task that adjusts the membership to the live nodes. A node whose disk is not that of
 * a voter replaces the voter with its id, or a silent one, or joins a group below the maximum size.
 */
export async function runMembershipTask(options: MembershipOptions): Promise<void> {
  const { clock, node, record, signal } = options;
  while (!signal.aborted) {
    await clock.wait(checkIntervalMs, signal);
    const { role, members, groupSize } = node.readStatus();
    if (role !== 'leader' || signal.aborted) continue;
    const voters = members.filter((member) => member.role === 'voter');
    try {
      await updateMembers(options, voters, groupSize);
    } catch (error) {
      record('control.membershipFailed', { reason: (error as Error).message });
    }
  }
}

async function updateMembers(
  { node, listNodes, listSilent, record }: MembershipOptions,
  voters: GroupMember[],
  groupSize: number,
): Promise<void> {
  const alive = listNodes();
  const joining = alive.find(({ diskId }) => !voters.some((voter) => voter.diskId === diskId));
  if (joining) {
    const replacedId = findReplacedVoterId(voters, joining.id, listSilent(replaceAfterMs));
    if (replacedId === undefined && voters.length >= maxVoters) return;
    const { id, address } = joining;
    await node.replaceMember({ id: replacedId ?? id, by: { id, address } });
    record('control.memberReplaced', { lost: replacedId ?? '', by: id });
    return;
  }
  const silent = listSilent(removeAfterMs).find((id) => voters.some((voter) => voter.id === id));
  if (silent === undefined || voters.length <= groupSize) return;
  await node.removeMember(silent);
  record('control.memberRemoved', { id: silent });
}

/**
 * Id of the voter that a joining node replaces: the node's own id if it is a voter with an earlier
 * disk, otherwise that of a silent voter.
 */
function findReplacedVoterId(
  voters: GroupMember[],
  id: string,
  silent: string[],
): string | undefined {
  if (voters.some((voter) => voter.id === id)) return id;
  return silent.find((silentId) => voters.some((voter) => voter.id === silentId));
}
