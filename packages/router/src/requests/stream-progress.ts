/** How far a stream has been passed on to its caller. */
export interface StreamProgress {
  lastEventId: string | undefined;
  events: number;
}
