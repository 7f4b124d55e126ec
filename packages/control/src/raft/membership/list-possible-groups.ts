import type { RaftContext } from '../raft-context.js';
import type { Group } from './group.js';

/** The memberships that may be in force, oldest first. @internal */
export function listPossibleGroups({
  possibleGroups,
}: Pick<RaftContext, 'possibleGroups'>): Group[] {
  return possibleGroups.map(({ group }) => group);
}
