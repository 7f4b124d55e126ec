import { appendEntry } from '../replication/append-entry.js';
import type { Group } from './group.js';
import type { GroupMember } from './group-member.js';
import type { RaftContext } from '../raft-context.js';
import { readGroupSize } from './read-group-size.js';
import type { Sender } from '../disk/sender.js';

/** Adds a node that came back under a known id, but with another disk, as a learner. @internal */
export function addLearner(context: RaftContext, member: GroupMember, sender: Sender): void {
  const { group } = context;
  if (!group) return;
  if (group.members.some(({ diskId }) => diskId === sender.diskId)) return;
  const others = group.members.filter(({ id, role }) => id !== member.id || role === 'voter');
  const learner = { ...member, diskId: sender.diskId, role: 'learner' as const };
  const changed: Group = { members: [...others, learner], size: readGroupSize(group) };
  const data = JSON.stringify(changed);
  context.timeline.record('raft.learner', { node: member.id });
  appendEntry(context, { kind: 'group', data }).catch(() => {});
}
