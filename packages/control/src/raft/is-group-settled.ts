import type { RaftContext } from './raft-context.js';

/** Whether this leader may change the membership: one change at a time, after its first entry. @internal */
export function isGroupSettled({ role, commitIndex, termStartIndex, groupIndex }: RaftContext) {
  return role === 'leader' && commitIndex >= termStartIndex && groupIndex <= commitIndex;
}
