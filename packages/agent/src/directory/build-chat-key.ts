import { toId, type AccountId, type ChatId } from '@vanillarelay/core';

/** Builds the key of a chat, `account/chat`, as different accounts may use the same chat id. */
export function buildChatKey(account: AccountId, chat: ChatId): ChatId {
  return toId<ChatId>(`${account}/${chat}`);
}
