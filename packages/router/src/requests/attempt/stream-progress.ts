/** How much of a stream has been relayed to its caller. */
export interface StreamProgress {
  lastEventId: string | undefined;
  /** Number of events that were relayed. */
  events: number;
}
