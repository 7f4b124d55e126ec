import { appendEntry } from '../replication/append-entry.js';
import type { Group } from './group.js';
import type { GroupMember } from './group-member.js';
import { addLearner } from './add-learner.js';
import { isGroupSettled } from './is-group-settled.js';
import { listVoters } from './list-voters.js';
import type { RaftContext } from '../raft-context.js';
import { replaceDisk } from './replace-disk.js';
import type { Sender } from '../disk/sender.js';

/**
 * Takes a node in again that came back under the id of a member, but with another disk. In a group with
 * an even number of voters the disk takes the member's seat at once, else it is a learner first.
 * @internal
 */
export function replaceLostDisk(context: RaftContext, member: GroupMember, sender: Sender): void {
  const { group } = context;
  if (!group || !isGroupSettled(context) || sender.id !== member.id) return;
  const voters = listVoters(context);
  const isVoter = voters.some(({ diskId }) => diskId === member.diskId);
  if (!isVoter || voters.length % 2 === 1) {
    addLearner(context, member, sender);
    return;
  }
  const changed: Group = replaceDisk(group, member.diskId, sender.diskId);
  context.timeline.record('raft.diskReplaced', { node: member.id });
  appendEntry(context, { kind: 'group', data: JSON.stringify(changed) }).catch(() => {});
}
