import { listVoters } from '../membership/list-voters.js';
import type { RaftContext } from '../raft-context.js';
import type { Voter } from './voter.js';

/**
 * The voters and the number of votes needed: a majority of the membership in the log. Before the
 * first membership, all nodes in the settings, because a node with an emptied disk looks like a new
 * one. @internal
 */
export function computeVoteQuorum(context: RaftContext): { voters: Voter[]; needed: number } {
  const { id, address, log, group, initialMembers } = context;
  const { diskId } = log.identity;
  if (!group) {
    if (!initialMembers.some((node) => node.id === id)) return { voters: [], needed: 0 };
    const others = initialMembers.filter((node) => node.id !== id);
    return { voters: [{ id, address, diskId }, ...others], needed: initialMembers.length };
  }
  const voters = listVoters(context);
  if (!voters.some((voter) => voter.diskId === diskId)) return { voters: [], needed: 0 };
  return { voters, needed: Math.floor(voters.length / 2) + 1 };
}
