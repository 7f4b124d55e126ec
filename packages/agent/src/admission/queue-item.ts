import type { AccountId } from '@vanillarelay/core';

/** A request that waits for a slot. */
export interface QueueItem {
  account: AccountId;
  /** 0 is served first. */
  priority: number;
  /** Monotonic time; of one account, the earliest is served first. */
  deadlineAt: number;
  /** Runs only when nothing else runs. */
  exclusive: boolean;
  grant: () => void;
  refuse: (error: Error) => void;
}
