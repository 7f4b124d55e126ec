import type { CommandResult } from '@vanillarelay/core';
import type { Group } from './group.js';
import type { DiskMark } from './disk-mark.js';
import type { PeerProgress } from './peer-progress.js';
import type { RaftOptions } from './raft-options.js';

interface PendingProposal {
  term: number;
  resolve: (result: CommandResult) => void;
  reject: (error: Error) => void;
}

/** State that the tasks and handlers of one Raft node share. @internal */
export interface RaftContext extends RaftOptions {
  role: 'follower' | 'candidate' | 'leader' | 'stopped';
  /** Id of the leader of the current term, if known. */
  leader: string | undefined;
  group: Group | undefined;
  /** Index of the entry that holds `group`. */
  groupIndex: number;
  commitIndex: number;
  appliedIndex: number;
  /** Time stamp of the last entry in the log. */
  lastAt: number;
  /** Monotonic time of the leader's last message or of the last vote given. */
  heardAt: number;
  /** Monotonic time of the last message of a valid leader. */
  leaderHeardAt: number;
  /** Monotonic time for which this follower knows that a quorum was alive. */
  quorumSeenAt: number;
  marks: Map<string, DiskMark>;
  /** How far the wall clock of each disk's node is ahead of this one, at most. */
  clockOffsets: Map<string, number>;
  progress: Map<string, PeerProgress>;
  pending: Map<number, PendingProposal>;
  /** Highest index that is durable here. */
  durableIndex: number;
  /** Last index of the log when this incarnation started. */
  startIndex: number;
  /** Index of the first entry of this leader's term. */
  termStartIndex: number;
  /** A snapshot that is being received. */
  incoming: { index: number; term: number; parts: Uint8Array[]; length: number } | undefined;
  /** Set while a snapshot is being written. */
  isSnapshotBusy: boolean;
  /** Set while the leader's snapshot replaces log and state; nothing is appended meanwhile. */
  isInstalling: boolean;
  /** Ends the tasks of the current term of office. */
  office: AbortController;
  failure: Error | undefined;
}
