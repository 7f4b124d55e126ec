import type { ChatBody } from './chat-body.js';

/** Parses a chat completion request; returns undefined if the body is not one. */
export function parseChatBody(bytes: Uint8Array): ChatBody | undefined {
  try {
    const body = JSON.parse(Buffer.from(bytes).toString('utf8')) as ChatBody;
    return Array.isArray(body?.messages) ? body : undefined;
  } catch {
    return undefined;
  }
}
