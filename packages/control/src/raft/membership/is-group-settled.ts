import type { RaftContext } from '../raft-context.js';

/**
 * Whether this leader may change the membership: one change at a time, and only after the first
 * entry of its term is committed. @internal
 */
export function isGroupSettled({ role, commitIndex, termStartIndex, groupIndex }: RaftContext) {
  return role === 'leader' && commitIndex >= termStartIndex && groupIndex <= commitIndex;
}
