/** Times of the consensus, in milliseconds. */
export const raftTiming = {
  electionTimeoutMinMs: 1_000,
  electionTimeoutMaxMs: 2_000,
  /** First timeout after a start; the vote before the vote keeps it from disturbing a live leader. */
  firstTimeoutMinMs: 50,
  firstTimeoutMaxMs: 300,
  heartbeatMs: 250,
  /** A lost message is repeated after this; several repeats fit into an election timeout. */
  callTimeoutMs: 500,
  /** Parts of a snapshot may wait for the receiver's disk. */
  snapshotCallTimeoutMs: 5_000,
  voteTimeoutMs: 500,
  retryDelayMs: 100,
  /** A proposer hears at the latest after this that the outcome is unknown. */
  proposalTimeoutMs: 5_000,
} as const;
