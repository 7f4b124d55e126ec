import type { Sender } from '../disk/sender.js';

/** A part of the leader's snapshot file. */
export interface SnapshotRequest {
  from: Sender;
  toDisk: string;
  term: number;
  /** Index of the snapshot. */
  index: number;
  offset: number;
  totalBytes: number;
  /** Base64. */
  data: string;
}
