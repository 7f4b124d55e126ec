import type { LogEntry } from '../../log/log-entry.js';

/** A part of an entry that is too large for one message. */
export interface EntryPart extends Omit<LogEntry, 'data'> {
  /** Position of `data` in the data of the entry, in characters. */
  offset: number;
  /** Length of the data of the whole entry, in characters. */
  totalLength: number;
  data: string;
}
