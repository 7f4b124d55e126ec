import type { ChatId } from '@vanillarelay/core';
import type { HeldChat } from './held-chat.js';

const defaultMaxChats = 16_384;

/** Creates the list of chats whose prompts are in the cache of this endpoint. */
export function createHeldChats(maxChats = defaultMaxChats) {
  /** Least recently used first, as in the engine's cache. */
  const chats = new Map<ChatId, HeldChat>();

  const add = (chatKey: ChatId, held: HeldChat): void => {
    chats.delete(chatKey);
    chats.set(chatKey, held);
    if (chats.size > maxChats) chats.delete(chats.keys().next().value!);
  };

  /** Removes all chats last used at `usedAt` or before; an engine evicts in the same order. */
  const removeUnusedSince = (usedAt: number): ChatId[] => {
    const removed: ChatId[] = [];
    for (const [chatKey, held] of chats) {
      if (held.usedAt > usedAt) break;
      chats.delete(chatKey);
      removed.push(chatKey);
    }
    return removed;
  };

  return {
    add,
    removeUnusedSince,
    find: (chatKey: ChatId): HeldChat | undefined => chats.get(chatKey),
    remove: (chatKey: ChatId): boolean => chats.delete(chatKey),
    clear: () => chats.clear(),
    /** Lists the most recently used first. */
    listRecent: (): [ChatId, HeldChat][] => [...chats].reverse(),
    count: () => chats.size,
  };
}
