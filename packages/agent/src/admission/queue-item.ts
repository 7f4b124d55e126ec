import type { AccountId } from '@vanillarelay/core';

/** A request that waits for a slot. */
export interface QueueItem {
  account: AccountId;
  /** 0 is served first. */
  priority: number;
  /** Monotonic time; among items of one account, the earliest is served first. */
  deadlineAt: number;
  /** Whether it runs only when nothing else runs. */
  exclusive: boolean;
  grant: () => void;
  refuse: (error: Error) => void;
}
