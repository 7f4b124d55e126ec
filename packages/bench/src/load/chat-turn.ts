import type { AccountId, ChatId } from '@vanillarelay/core';

/** One request of a chat: the whole conversation so far, as callers of chat completions send it. */
export interface ChatTurn {
  account: AccountId;
  chat: ChatId;
  turn: number;
  messages: { role: 'user' | 'assistant'; content: string }[];
}
