import { toId, type AccountId, type ChatId } from '@vanillarelay/core';

/** The key of a chat, prefixed with its account: accounts do not share chats of the same name. */
export function buildChatKey(account: AccountId, chat: ChatId): ChatId {
  return toId<ChatId>(`${account}/${chat}`);
}
