import type { ChatId } from '@vanillarelay/core';
import type { HeldChat } from './held-chat.js';

const defaultLimit = 16_384;

/** Makes the list of chats that this endpoint holds. */
export function createHeldChats(limit = defaultLimit) {
  /** Least recently used first, as in the engine's cache. */
  const chats = new Map<ChatId, HeldChat>();

  const add = (chat: ChatId, held: HeldChat): void => {
    chats.delete(chat);
    chats.set(chat, held);
    if (chats.size > limit) chats.delete(chats.keys().next().value!);
  };

  /** Removes every chat not used since `usedAt`: an engine evicts the least recently used first. */
  const removeUnusedSince = (usedAt: number): ChatId[] => {
    const removed: ChatId[] = [];
    for (const [chat, held] of chats) {
      if (held.usedAt > usedAt) break;
      chats.delete(chat);
      removed.push(chat);
    }
    return removed;
  };

  return {
    add,
    removeUnusedSince,
    find: (chat: ChatId): HeldChat | undefined => chats.get(chat),
    remove: (chat: ChatId): boolean => chats.delete(chat),
    clear: () => chats.clear(),
    /** Most recently used first. */
    listRecent: (): [ChatId, HeldChat][] => [...chats].reverse(),
    count: () => chats.size,
  };
}
