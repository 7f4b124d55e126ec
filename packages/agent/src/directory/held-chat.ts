/** A chat whose prompt the engine holds in its cache. */
export interface HeldChat {
  /** Prompt tokens in the cache. */
  tokens: number;
  /** Monotonic time of the last run. */
  usedAt: number;
  /** Order of the move that brought the chat here. */
  sequence: number;
  /** The agents that were told, with their incarnations; empty when nobody was. */
  notedAt: string;
  /** Generation of the membership in which `notedAt` was last compared. */
  checkedIn: number;
}
