import { computeQuorumValue } from '../membership/compute-quorum-value.js';
import type { Group } from '../membership/group.js';
import { listPossibleGroups } from '../membership/list-possible-groups.js';
import { listPossibleVoters } from '../membership/list-possible-voters.js';
import { listVoters } from '../membership/list-voters.js';
import type { RaftContext } from '../raft-context.js';
import type { Electorate } from './electorate.js';

/**
 * The electorate of this node; undefined when it may not stand as a candidate. `replacement` is a
 * membership that the candidate appends if it is elected. Before the first membership, all nodes in
 * the settings must vote, because a node with an emptied disk looks like a new one. @internal
 */
export function findElectorate(context: RaftContext, replacement?: Group): Electorate | undefined {
  const { id, address, log, group, initialMembers } = context;
  const { diskId } = log.identity;
  if (!group) {
    if (!initialMembers.some((node) => node.id === id)) return undefined;
    const others = initialMembers.filter((node) => node.id !== id);
    return {
      voters: [{ id, address, diskId }, ...others],
      hasQuorum: (granted) => granted.size >= initialMembers.length,
    };
  }
  const groups = [...listPossibleGroups(context), ...(replacement ? [replacement] : [])];
  const isVoter = listVoters(context).some((voter) => voter.diskId === diskId);
  if (!isVoter) return undefined;
  return {
    voters: listPossibleVoters(groups),
    hasQuorum: (granted) => computeQuorumValue(groups, (disk) => Number(granted.has(disk))) === 1,
  };
}
