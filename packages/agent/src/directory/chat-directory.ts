import type { createChatDirectory } from './create-chat-directory.js';

/** An agent's share of the chat directory. */
export type ChatDirectory = ReturnType<typeof createChatDirectory>;
