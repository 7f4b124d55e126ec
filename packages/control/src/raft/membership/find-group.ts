import type { LogStore } from '../../log/log-store.js';
import type { Group } from './group.js';

/** The newest membership in the log, committed or not, else that of the snapshot. */
export function findGroup({ memory, readSnapshot }: LogStore): {
  group: Group | undefined;
  groupIndex: number;
} {
  const entry = memory.list().findLast(({ kind }) => kind === 'group');
  if (entry) return { group: JSON.parse(entry.data) as Group, groupIndex: entry.index };
  const snapshot = readSnapshot();
  return { group: snapshot?.group, groupIndex: snapshot?.index ?? 0 };
}
