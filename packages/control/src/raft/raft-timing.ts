/** Timing of the consensus protocol, in milliseconds. */
export const raftTiming = {
  electionTimeoutMinMs: 1_000,
  electionTimeoutMaxMs: 2_000,
  /** First election timeout after a start; pre-votes keep it from disrupting a live leader. */
  firstTimeoutMinMs: 50,
  firstTimeoutMaxMs: 300,
  heartbeatMs: 250,
  /** A lost message is sent again after this; several attempts fit into an election timeout. */
  callTimeoutMs: 500,
  /** Longer, because parts of a snapshot may wait for the receiver's disk. */
  snapshotCallTimeoutMs: 5_000,
  voteTimeoutMs: 500,
  retryDelayMs: 100,
  /** After this time at the latest, a proposer is told that the outcome is unknown. */
  proposalTimeoutMs: 5_000,
} as const;
