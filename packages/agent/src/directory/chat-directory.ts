import type { createChatDirectory } from './create-chat-directory.js';

/** The agent's part of the chat directory. */
export type ChatDirectory = ReturnType<typeof createChatDirectory>;
