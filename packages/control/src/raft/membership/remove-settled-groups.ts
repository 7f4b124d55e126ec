import type { RaftContext } from '../raft-context.js';
import { selectPossibleGroups } from './select-possible-groups.js';

/**
 * Removes the memberships that a committed one has replaced; returns whether there were any. The
 * index of that one is stored, since the commit index is not known after a restart. @internal
 */
export function removeSettledGroups(context: RaftContext): boolean {
  const { possibleGroups, commitIndex, log } = context;
  const remaining = selectPossibleGroups(possibleGroups, commitIndex);
  const [first] = remaining;
  if (!first || remaining.length === possibleGroups.length) return false;
  context.possibleGroups = remaining;
  // The log writer reports disk failures.
  log.saveHardState({ ...log.readHardState(), committedGroupIndex: first.index }).catch(() => {});
  return true;
}
