import type { Clock, EventDetails } from '@vanillarelay/core';
import type { GroupMember } from './group-member.js';
import type { createRaftNode } from './create-raft-node.js';

interface MemberKeeperOptions {
  clock: Clock;
  node: Pick<ReturnType<typeof createRaftNode>, 'readStatus' | 'replaceMember' | 'removeMember'>;
  /** Nodes with a disk that are alive now. */
  listNodes: () => { id: string; address: string; diskId: string }[];
  /** Members that have not answered the leader for this long, by id. */
  listSilent: (ms: number) => string[];
  record: (name: string, details: EventDetails) => void;
  signal: AbortSignal;
}

const checkMs = 300;
/** A voter that is silent for this long is replaced when another node is at hand. */
const replaceAfterMs = 1_500;
/** A voter that is silent for this long is removed when the group is larger than it was founded. */
const removeAfterMs = 6_000;
const maxVoters = 7;

/**
 * The leader's task that keeps the membership in line with the nodes that are alive: a node with a
 * new disk takes the place of the one that lost it, or of a silent voter, or joins a smaller group.
 */
export async function keepMembers(options: MemberKeeperOptions): Promise<void> {
  const { clock, node, record, signal } = options;
  let foundedSize = 0;
  while (!signal.aborted) {
    await clock.wait(checkMs, signal);
    const { role, members } = node.readStatus();
    if (role !== 'leader' || signal.aborted) continue;
    const voters = members.filter((member) => member.role === 'voter');
    foundedSize = foundedSize === 0 ? voters.length : Math.min(foundedSize, maxVoters);
    try {
      await updateMembers(options, voters, foundedSize);
    } catch (error) {
      record('control.membershipFailed', { reason: (error as Error).message });
    }
  }
}

async function updateMembers(
  { node, listNodes, listSilent, record }: MemberKeeperOptions,
  voters: GroupMember[],
  foundedSize: number,
): Promise<void> {
  const alive = listNodes();
  const joining = alive.find(({ diskId }) => !voters.some((voter) => voter.diskId === diskId));
  if (joining) {
    const lost = findLost(voters, joining.id, listSilent(replaceAfterMs));
    if (lost === undefined && voters.length >= maxVoters) return;
    const { id, address } = joining;
    await node.replaceMember({ id: lost ?? id, by: { id, address } });
    record('control.memberReplaced', { lost: lost ?? '', by: id });
    return;
  }
  const silent = listSilent(removeAfterMs).find((id) => voters.some((voter) => voter.id === id));
  if (silent === undefined || voters.length <= foundedSize) return;
  await node.removeMember(silent);
  record('control.memberRemoved', { id: silent });
}

/** The voter whose place a joining node takes: itself on a lost disk, else one that is silent. */
function findLost(voters: GroupMember[], id: string, silent: string[]): string | undefined {
  if (voters.some((voter) => voter.id === id)) return id;
  return silent.find((one) => voters.some((voter) => voter.id === one));
}
