import type { CrashId } from '@vanillarelay/core';

interface Crash {
  /** Monotonic time at which it was noticed. */
  at: number;
  /** Events that the lost run of a content had sent; 0 for a part, whose answer had not begun. */
  events: number;
  /** Monotonic time at which the suspect proved harmless since; absent while it is suspected. */
  clearedAt?: number;
}

/** What may have crashed endpoints, and the crashes that it may have caused. */
export interface Suspect {
  crashes: Map<CrashId, Crash>;
  /** Monotonic time at which the last of the crashes became known, or of the last probe if later. */
  delayedFrom: number;
  isBlocked: boolean;
}
