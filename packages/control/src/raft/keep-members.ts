import type { Clock, EventDetails } from '@vanillarelay/core';
import type { GroupMember } from './group-member.js';
import type { createRaftNode } from './create-raft-node.js';

interface MembershipOptions {
  clock: Clock;
  node: Pick<ReturnType<typeof createRaftNode>, 'readStatus' | 'replaceMember' | 'removeMember'>;
  /** Nodes with a disk that are alive now. */
  listNodes: () => { id: string; address: string; diskId: string }[];
  /** Ids of the members that have not replied to the leader for this long. */
  listSilent: (ms: number) => string[];
  record: (name: string, details: EventDetails) => void;
  signal: AbortSignal;
}

const checkMs = 300;
/** A voter that is silent for this long is replaced when another node is available. */
const replaceAfterMs = 1_500;
/** A voter that is silent for this long is removed when the group is above its initial size. */
const removeAfterMs = 6_000;
const maxVoters = 7;

/**
 * The leader's task that adjusts the membership to the live nodes: a node with a new disk replaces
 * the member that lost its disk, or a silent voter, or joins a group below the maximum size.
 */
export async function keepMembers(options: MembershipOptions): Promise<void> {
  const { clock, node, record, signal } = options;
  let initialSize = 0;
  while (!signal.aborted) {
    await clock.wait(checkMs, signal);
    const { role, members } = node.readStatus();
    if (role !== 'leader' || signal.aborted) continue;
    const voters = members.filter((member) => member.role === 'voter');
    initialSize = initialSize === 0 ? voters.length : Math.min(initialSize, maxVoters);
    try {
      await updateMembers(options, voters, initialSize);
    } catch (error) {
      record('control.membershipFailed', { reason: (error as Error).message });
    }
  }
}

async function updateMembers(
  { node, listNodes, listSilent, record }: MembershipOptions,
  voters: GroupMember[],
  initialSize: number,
): Promise<void> {
  const alive = listNodes();
  const joining = alive.find(({ diskId }) => !voters.some((voter) => voter.diskId === diskId));
  if (joining) {
    const lost = findReplacedVoter(voters, joining.id, listSilent(replaceAfterMs));
    if (lost === undefined && voters.length >= maxVoters) return;
    const { id, address } = joining;
    await node.replaceMember({ id: lost ?? id, by: { id, address } });
    record('control.memberReplaced', { lost: lost ?? '', by: id });
    return;
  }
  const silent = listSilent(removeAfterMs).find((id) => voters.some((voter) => voter.id === id));
  if (silent === undefined || voters.length <= initialSize) return;
  await node.removeMember(silent);
  record('control.memberRemoved', { id: silent });
}

/** The voter that a joining node replaces: itself on a lost disk, or else a silent one. */
function findReplacedVoter(
  voters: GroupMember[],
  id: string,
  silent: string[],
): string | undefined {
  if (voters.some((voter) => voter.id === id)) return id;
  return silent.find((one) => voters.some((voter) => voter.id === one));
}
