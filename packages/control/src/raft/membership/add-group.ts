import type { RaftContext } from '../raft-context.js';
import type { GroupEntry } from './group-entry.js';
import { selectPossibleGroups } from './select-possible-groups.js';

/** Adopts a membership that was appended to the log; it counts at once. @internal */
export function addGroup(context: RaftContext, entry: GroupEntry): void {
  const { possibleGroups, commitIndex } = context;
  context.group = entry.group;
  context.groupIndex = entry.index;
  context.possibleGroups = selectPossibleGroups([...possibleGroups, entry], commitIndex);
}
