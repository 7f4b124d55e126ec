import type { ChatBody } from './chat-body.js';

/** The text that the engine computes: all messages in order. */
export function buildPrompt(messages: ChatBody['messages']): string {
  return messages.map(({ role, content }) => `${role}:${content}\n`).join('');
}
