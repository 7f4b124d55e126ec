import type { LogEntry } from './log-entry.js';

/** Makes the part of the log that is in memory: the entries after `base`, without gaps. */
export function createLogMemory(base: { index: number; term: number }) {
  let before = base;
  let entries: LogEntry[] = [];

  const readLast = () => entries.at(-1) ?? before;

  const findTerm = (index: number): number | undefined =>
    index === before.index ? before.term : entries[index - before.index - 1]?.term;

  /** Adds an entry; one that is in the place of another cuts the log there first. */
  const add = (entry: LogEntry): void => {
    if (entry.index <= before.index || entry.index > readLast().index + 1) {
      throw new Error(`entry ${entry.index} does not follow ${readLast().index}`);
    }
    entries.length = entry.index - before.index - 1;
    entries.push(entry);
  };

  /** Entries from an index on, at most `maxBytes` of data, but at least one. */
  const listFrom = (index: number, maxBytes: number): LogEntry[] => {
    const selected: LogEntry[] = [];
    let bytes = 0;
    for (let at = index - before.index - 1; at < entries.length; at += 1) {
      const entry = entries[at];
      if (!entry) break;
      bytes += entry.data.length;
      if (selected.length > 0 && bytes > maxBytes) break;
      selected.push(entry);
    }
    return selected;
  };

  /** Forgets the entries up to an index. */
  const removeUpTo = (index: number): void => {
    const term = findTerm(index);
    if (term === undefined) return;
    entries = entries.slice(index - before.index);
    before = { index, term };
  };

  return {
    add,
    findTerm,
    listFrom,
    removeUpTo,
    readLast: (): { index: number; term: number } => readLast(),
    readBase: () => before,
    list: (): readonly LogEntry[] => entries,
    reset: (next: { index: number; term: number }): void => {
      before = next;
      entries = [];
    },
  };
}
