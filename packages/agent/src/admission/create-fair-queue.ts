import type { AccountId } from '@vanillarelay/core';
import type { QueueItem } from './queue-item.js';

interface FairQueueOptions {
  /** Maximum number of items. */
  limit: number;
  /** Maximum number of items of one account, so that a burst does not fill the queue. */
  accountLimit: number;
}

/** Creates a queue that serves by priority, and within a priority round-robin over the accounts. */
export function createFairQueue({ limit, accountLimit }: FairQueueOptions) {
  const levels = new Map<number, Map<AccountId, QueueItem[]>>();
  const counts = new Map<AccountId, number>();
  let size = 0;

  const addCount = (account: AccountId, change: number): void => {
    const count = (counts.get(account) ?? 0) + change;
    if (count > 0) counts.set(account, count);
    else counts.delete(account);
    size += change;
  };

  /** Adds an item; returns false when the queue or the account's share of it is full. */
  const push = (item: QueueItem): boolean => {
    if (size >= limit || (counts.get(item.account) ?? 0) >= accountLimit) return false;
    const level = levels.get(item.priority) ?? new Map<AccountId, QueueItem[]>();
    levels.set(item.priority, level);
    const items = level.get(item.account) ?? [];
    // By deadline, so that a request that has waited at another endpoint precedes later ones.
    const insertAt = items.findIndex(({ deadlineAt }) => deadlineAt > item.deadlineAt);
    items.splice(insertAt < 0 ? items.length : insertAt, 0, item);
    level.set(item.account, items);
    addCount(item.account, 1);
    return true;
  };

  const findNext = (): QueueItem | undefined => {
    if (size === 0) return undefined;
    const [items = []] = levels.get(Math.min(...levels.keys()))?.values() ?? [];
    return items[0];
  };

  /** Removes an item; returns false when it is no longer in the queue. */
  const remove = (item: QueueItem, isServed = false): boolean => {
    const level = levels.get(item.priority);
    const items = level?.get(item.account);
    const index = items?.indexOf(item) ?? -1;
    if (!level || !items || index < 0) return false;
    items.splice(index, 1);
    if (isServed || items.length === 0) level.delete(item.account);
    // Moves the account behind the others, so that each is served in turn.
    if (isServed && items.length > 0) level.set(item.account, items);
    if (level.size === 0) levels.delete(item.priority);
    addCount(item.account, -1);
    return true;
  };

  const list = (): QueueItem[] =>
    [...levels.values()].flatMap((level) => [...level.values()].flat());

  return { push, findNext, remove, list, count: () => size };
}
