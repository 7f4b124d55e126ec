import type { LogEntry } from './log-entry.js';

/** Creates the in-memory part of the log: the entries after `initialBase`, without gaps. */
export function createLogMemory(initialBase: { index: number; term: number }) {
  let base = initialBase;
  let entries: LogEntry[] = [];

  const readLast = () => entries.at(-1) ?? base;

  const findTerm = (index: number): number | undefined =>
    index === base.index ? base.term : entries[index - base.index - 1]?.term;

  /** Adds an entry; if there is one at its index, it and all later ones are removed first. */
  const add = (entry: LogEntry): void => {
    if (entry.index <= base.index || entry.index > readLast().index + 1) {
      throw new Error(`entry ${entry.index} does not follow entry ${readLast().index}`);
    }
    entries.length = entry.index - base.index - 1;
    entries.push(entry);
  };

  /** Entries from an index on, at most `maxBytes` of data, but at least one. */
  const listFrom = (index: number, maxBytes: number): LogEntry[] => {
    const selected: LogEntry[] = [];
    let bytes = 0;
    for (let position = index - base.index - 1; position < entries.length; position += 1) {
      const entry = entries[position];
      if (!entry) break;
      bytes += entry.data.length;
      if (selected.length > 0 && bytes > maxBytes) break;
      selected.push(entry);
    }
    return selected;
  };

  /** Removes the entries up to an index from memory. */
  const removeUpTo = (index: number): void => {
    const term = findTerm(index);
    if (term === undefined) return;
    entries = entries.slice(index - base.index);
    base = { index, term };
  };

  return {
    add,
    findTerm,
    listFrom,
    removeUpTo,
    readLast: (): { index: number; term: number } => readLast(),
    readBase: () => base,
    list: (): readonly LogEntry[] => entries,
    reset: (next: { index: number; term: number }): void => {
      base = next;
      entries = [];
    },
  };
}
