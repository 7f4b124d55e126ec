/** What a daemon knows of control, as monotonic times of its own clock. */
export interface ContactEvidence {
  /** A hub knew of a live quorum at this time. */
  quorumSeenAt: number;
  /** An attached peer knew of a live quorum at this time. */
  relaySeenAt: number;
  /** Control nodes or peers showed at this time that there is no quorum. */
  lossSeenAt: number;
  /** A majority of control nodes showed at this time that they have no quorum. */
  majorityLossSeenAt: number;
  /** A round of questions to all control nodes that found no quorum began at this time. */
  silenceSeenAt: number;
  /** Set once the state came from a live hub or a serving peer since the start of the process. */
  isConfirmed: boolean;
}
