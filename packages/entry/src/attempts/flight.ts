import type { Member } from '@vanillarelay/core';

/** An attempt from its dispatch to the end of its answer. */
export interface Flight {
  member: Member;
  /** Monotonic time of the dispatch, in milliseconds. */
  startedAt: number;
  /** Gives the attempt up because its agent is gone. */
  abort: () => void;
  /** Monotonic time of the last sign of life, in milliseconds. */
  seenAt: number;
}
