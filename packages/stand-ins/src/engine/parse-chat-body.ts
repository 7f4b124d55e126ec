import type { ChatBody } from './chat-body.js';

/** The chat completion request in a body; undefined when it is none. */
export function parseChatBody(bytes: Uint8Array): ChatBody | undefined {
  try {
    const body = JSON.parse(Buffer.from(bytes).toString('utf8')) as ChatBody;
    return Array.isArray(body?.messages) ? body : undefined;
  } catch {
    return undefined;
  }
}
