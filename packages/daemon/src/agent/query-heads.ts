import type { CacheTransfer, PlacementUpdate, StreamId } from '@vanillarelay/core';
import { z } from 'zod';

const id = z.string().min(1).max(256);
/** A chat with its account: `account/chat`. */
const chatKey = z.string().min(1).max(2_048);

/** Schemas of the heads of an agent's messages other than dispatches. */
export const queryHeads = {
  contact: z.strictObject({ stateVersion: z.int().min(0) }),
  cancel: z.strictObject({ streamId: id }) as unknown as z.ZodType<{ streamId: StreamId }>,
  resume: z.strictObject({ streamId: id, after: z.int().min(0) }) as unknown as z.ZodType<{
    streamId: StreamId;
    after: number;
  }>,
  placement: z.strictObject({
    service: id,
    chat: chatKey,
    holder: id,
    incarnation: z.number().min(0),
    sequence: z.number().min(0),
  }) as unknown as z.ZodType<PlacementUpdate>,
  cache: z.strictObject({
    service: id,
    chat: chatKey,
    tokens: z.number().min(0),
  }) as unknown as z.ZodType<CacheTransfer>,
};
