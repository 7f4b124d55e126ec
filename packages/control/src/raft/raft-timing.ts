/**
 * Timing of the consensus protocol, in milliseconds. `electionTimeoutMinMs` is also the time after
 * which a leader without replies of a quorum steps down, and for which a node denies votes after
 * contact with a leader. `retryDelayMs` is also the interval of the leader's quorum check.
 */
export const raftTiming = {
  electionTimeoutMinMs: 1_000,
  electionTimeoutMaxMs: 2_000,
  /**
   * First election timeout after a start: this node may be the one that completes a majority. Votes
   * are denied while a leader is alive.
   */
  firstTimeoutMinMs: 5,
  firstTimeoutMaxMs: 60,
  /** Further ones until a leader is heard, for as long as the other nodes may still be starting. */
  startTimeoutMinMs: 50,
  startTimeoutMaxMs: 300,
  startMs: 5_000,
  heartbeatMs: 250,
  /**
   * Timeout of a call to another control node. Entries are sent again `retryDelayMs` after a failed
   * call; both together are shorter than an election timeout.
   */
  callTimeoutMs: 500,
  /**
   * Timeout of the call that sends one part of a snapshot; longer than `callTimeoutMs`, because the
   * receiver writes the snapshot to its disk before it replies to the last part.
   */
  snapshotCallTimeoutMs: 5_000,
  voteTimeoutMs: 500,
  retryDelayMs: 100,
  /**
   * Timeout of a proposal, which may still be committed afterwards, and of the wait for an earlier
   * membership change.
   */
  proposalTimeoutMs: 5_000,
} as const;
