/** A daemon's evidence about the control nodes, as times of its monotonic clock. */
export interface ContactEvidence {
  /** Latest time at which a hub had contact with a live quorum. */
  quorumSeenAt: number;
  /** Latest time at which an attached peer knew that a quorum of the control nodes was alive. */
  relaySeenAt: number;
  /** Latest time at which control nodes or peers showed that there is no quorum. */
  quorumLossSeenAt: number;
  /** Latest time at which a majority of control nodes showed that they have no quorum. */
  majorityLossSeenAt: number;
  /** Start of the latest probe of all control nodes that found no quorum. */
  silenceSeenAt: number;
  /** Whether the state was received from a live hub or a serving peer since the process started. */
  isStateConfirmed: boolean;
}
