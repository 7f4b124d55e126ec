import type { ChatBody } from './chat-body.js';

/** Builds the prompt: the text of all messages in order. */
export function buildPrompt(messages: ChatBody['messages']): string {
  return messages.map(({ role, content }) => `${role}:${content}\n`).join('');
}
