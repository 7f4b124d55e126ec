import type { Member } from '@vanillarelay/core';

/** A call to an agent, from its start to the end of its answer. */
export interface InFlightCall {
  member: Member;
  /** Monotonic time at which the call started, in milliseconds. */
  startedAt: number;
  /** Aborts the call because its agent is lost. */
  abort: () => void;
  /** Monotonic time at which the agent was last known to be alive, in milliseconds. */
  seenAt: number;
}
