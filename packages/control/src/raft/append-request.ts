import type { LogEntry } from '../log/log-entry.js';
import type { DiskMark } from './disk-mark.js';
import type { Sender } from './sender.js';

/** Entries from the leader; without entries a heartbeat. */
export interface AppendRequest {
  from: Sender;
  toDisk: string;
  term: number;
  previousIndex: number;
  previousTerm: number;
  entries: LogEntry[];
  commitIndex: number;
  /** Milliseconds since a quorum answered the leader. */
  quorumAgeMs: number;
  /** The receiver's own clock as it stood in its last answer; bounds the age of this message. */
  echo?: { incarnation: number; mark: number };
  marks: Record<string, DiskMark>;
}
