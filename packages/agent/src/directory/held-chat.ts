/** A chat whose prompt the engine holds in its cache. */
export interface HeldChat {
  /** Prompt tokens in the cache. */
  tokens: number;
  /** Monotonic time of the last run. */
  usedAt: number;
  /** Sequence of the move that brought the chat here; a later move has a higher sequence. */
  sequence: number;
  /** The agents that were notified, with their incarnations; empty if they are to be notified. */
  notifiedAgents: string;
  /** Generation of the ready endpoints with which `notifiedAgents` was last compared. */
  checkedGeneration: number;
}
