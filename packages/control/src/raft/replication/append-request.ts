import type { LogEntry } from '../../log/log-entry.js';
import type { DiskWatermark } from '../disk/disk-watermark.js';
import type { EntryPart } from './entry-part.js';
import type { Sender } from '../disk/sender.js';

/** Entries from the leader; a request without entries is a heartbeat. */
export interface AppendRequest {
  from: Sender;
  /** Disk of the member that is meant; a node with another disk refuses the message. */
  toDisk: string;
  term: number;
  previousIndex: number;
  previousTerm: number;
  entries: LogEntry[];
  /** A part of the next entry, in place of `entries`, when that entry is too large for one message. */
  part?: EntryPart;
  commitIndex: number;
  /**
   * Milliseconds since a quorum replied to the leader; unknown until the leader has applied an entry
   * of its term, because `commitIndex` may be too low until then.
   */
  quorumAgeMs: number;
  /** Incarnation and `mark` from the receiver's last reply; bounds the age of this message. */
  echo?: { incarnation: number; mark: number };
  /** Watermarks by disk id. */
  marks: Record<string, DiskWatermark>;
}
