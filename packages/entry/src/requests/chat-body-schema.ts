import { z } from 'zod';

const maxChatIdLength = 256;

/** The fields of a chat completion that the entry reads; all others are passed on unchecked. */
export const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.unknown()).min(1),
  chat_id: z.string().min(1).max(maxChatIdLength).optional(),
  stream: z.boolean().optional(),
  resumable: z.boolean().optional(),
});
