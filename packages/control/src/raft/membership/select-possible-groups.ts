import type { GroupEntry } from './group-entry.js';

/**
 * Selects the memberships that may be in force from those in a log, oldest first: the last one that
 * is known to be committed and all later ones.
 */
export function selectPossibleGroups(
  entries: readonly GroupEntry[],
  committedIndex: number,
): GroupEntry[] {
  const last = entries.at(-1);
  if (!last) return [];
  // A leader appends a membership once the one before it is committed, unless the entry names another.
  const earliestIndex = last.group.earliestIndex ?? entries.at(-2)?.index ?? last.index;
  const knownIndex = Math.max(committedIndex, earliestIndex);
  return entries.slice(
    Math.max(
      0,
      entries.findLastIndex(({ index }) => index <= knownIndex),
    ),
  );
}
