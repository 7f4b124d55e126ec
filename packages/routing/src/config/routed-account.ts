import type { AccountId } from '@vanillarelay/core';

/** A client account with the keys that callers present. */
export interface RoutedAccount {
  id: AccountId;
  keys: string[];
  /** Takes precedence over the priority of a route. */
  priority?: number;
}
