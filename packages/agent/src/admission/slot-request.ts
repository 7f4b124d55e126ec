import type { AccountId } from '@vanillarelay/core';

/** A request that asks for a slot of the endpoint. */
export interface SlotRequest {
  account: AccountId;
  priority: number;
  /** Whether it may wait until its deadline instead of `patienceMs`. */
  mustArrive: boolean;
  /** Monotonic time after which nobody waits for the answer. */
  deadlineAt: number;
  /** Maximum wait of a request without `mustArrive`, in milliseconds. */
  patienceMs: number;
  /** Whether it runs only when nothing else runs. */
  exclusive: boolean;
}
