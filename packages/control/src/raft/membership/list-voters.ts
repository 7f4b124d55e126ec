import type { GroupMember } from './group-member.js';
import type { RaftContext } from '../raft-context.js';

/** Members whose votes and acknowledgements count. @internal */
export function listVoters({ group }: Pick<RaftContext, 'group'>): GroupMember[] {
  return group?.members.filter(({ role }) => role === 'voter') ?? [];
}
