/**
 * Timing of the consensus protocol, in milliseconds. `electionTimeoutMinMs` is also the time after
 * which a leader without replies of a quorum steps down, and for which a node denies votes after
 * contact with a leader. `retryDelayMs` is also the interval of the leader's quorum check.
 */
export const raftTiming = {
  electionTimeoutMinMs: 1_000,
  electionTimeoutMaxMs: 2_000,
  /** First election timeout after a start; pre-votes keep it from disrupting a live leader. */
  firstTimeoutMinMs: 50,
  firstTimeoutMaxMs: 300,
  heartbeatMs: 250,
  /** A message without a reply is sent again after this; several fit in an election timeout. */
  callTimeoutMs: 500,
  /** Timeout of one part of a snapshot; longer, because it may wait for the receiver's disk. */
  snapshotCallTimeoutMs: 5_000,
  voteTimeoutMs: 500,
  retryDelayMs: 100,
  /** A proposal that is not settled within this time is rejected with an unknown outcome. */
  proposalTimeoutMs: 5_000,
} as const;
