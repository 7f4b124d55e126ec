import { z } from 'zod';

const longestChatId = 256;

/** The fields of a chat completion that the entry reads; the others pass through unread. */
export const chatBody = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.unknown()).min(1),
  chat_id: z.string().min(1).max(longestChatId).optional(),
  stream: z.boolean().optional(),
  resumable: z.boolean().optional(),
});
