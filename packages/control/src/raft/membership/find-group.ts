import type { LogStore } from '../../log/log-store.js';
import type { RaftContext } from '../raft-context.js';
import type { Group } from './group.js';
import type { GroupEntry } from './group-entry.js';
import { selectPossibleGroups } from './select-possible-groups.js';

type GroupState = Pick<RaftContext, 'group' | 'groupIndex' | 'possibleGroups'>;

/**
 * Finds the newest membership in the log, committed or not, else that of the snapshot, and those that
 * may be in force beside it.
 */
export function findGroup(log: LogStore, commitIndex: number): GroupState {
  const { committedGroupIndex = 0 } = log.readHardState();
  const possibleGroups = selectPossibleGroups(
    listGroupEntries(log),
    Math.max(commitIndex, committedGroupIndex),
  );
  const last = possibleGroups.at(-1);
  return { group: last?.group, groupIndex: last?.index ?? 0, possibleGroups };
}

function listGroupEntries({ memory, readSnapshot }: LogStore): GroupEntry[] {
  const snapshot = readSnapshot();
  const base = snapshot?.index ?? 0;
  const later = memory
    .list()
    .filter(({ kind, index }) => kind === 'group' && index > base)
    .map(({ index, data }) => ({ index, group: JSON.parse(data) as Group }));
  return snapshot ? [{ index: base, group: snapshot.group }, ...later] : later;
}
