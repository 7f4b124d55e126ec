import type { CommandResult } from '@vanillarelay/core';
import type { LogEntry } from '../log/log-entry.js';
import type { Group } from './membership/group.js';
import type { GroupEntry } from './membership/group-entry.js';
import type { GroupMember } from './membership/group-member.js';
import type { DiskWatermark } from './disk/disk-watermark.js';
import type { PeerProgress } from './replication/peer-progress.js';
import type { RaftOptions } from './raft-options.js';
import type { Sender } from './disk/sender.js';

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
  /** Disk of the last leader that sent a message, also after its term. */
  leaderDiskId: string | undefined;
  group: Group | undefined;
  /** Index of the entry that holds `group`. */
  groupIndex: number;
  /**
   * Memberships that may be in force, oldest first: the last one known to be committed and all later
   * ones in the log; the newest is `group`. A quorum is one in each of them.
   */
  possibleGroups: GroupEntry[];
  commitIndex: number;
  appliedIndex: number;
  /** Time stamp of the last entry in the log. */
  lastTimestamp: number;
  /**
   * Monotonic time from which the election timeout counts: the leader's last message, the last vote
   * granted, the last election or the end of leading.
   */
  electionTimerStartedAt: number;
  /** Monotonic time of the last message from a valid leader. */
  leaderContactAt: number;
  /**
   * Latest monotonic time at which a quorum was alive and everything committed until then is applied
   * here, as known to this follower.
   */
  quorumSeenAt: number;
  /** Watermarks by disk id. */
  marks: Map<string, DiskWatermark>;
  /** Lower bound of how far the wall clock of each disk's node is ahead of this one. */
  clockOffsets: Map<string, number>;
  /** Progress of the other members by disk id; empty unless this node leads. */
  progress: Map<string, PeerProgress>;
  /** Unsettled proposals by index. */
  pending: Map<number, PendingProposal>;
  /** Highest index that is durable here. */
  durableIndex: number;
  /** Last index of the log when this incarnation started. */
  startIndex: number;
  /** Index of the first entry of this leader's term. */
  termStartIndex: number;
  /** An entry that is being received in parts. */
  incomingEntry: LogEntry | undefined;
  /** A snapshot that is being received. */
  incomingSnapshot:
    { index: number; term: number; parts: Uint8Array[]; length: number } | undefined;
  /** Set while a snapshot is being written. */
  isWritingSnapshot: boolean;
  /** Set while the leader's snapshot replaces log and state; nothing is appended meanwhile. */
  isInstallingSnapshot: boolean;
  /** Aborted when this node stops leading; ends the tasks of the leader. */
  office: AbortController;
  /** Called by the replication when a member replies from another disk than the group knows. */
  notifyOtherDisk: (member: GroupMember, sender: Sender) => void;
  /** Why this node stopped permanently. */
  failure: Error | undefined;
}
