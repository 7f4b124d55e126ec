import type { GossipMessage } from '@vanillarelay/control';
import { z } from 'zod';
import { messageLimits } from './message-limits.js';
import { reportSchema } from './report-schema.js';

const { announcement, count, daemonRow, text, usage } = reportSchema;
const ageMs = z.number().min(0);
const maxControlNodes = 7;

/** Schema of a message between hubs. */
export const gossipSchema = z.strictObject({
  from: text,
  epoch: text,
  hears: z.array(text).max(maxControlNodes),
  announcements: z
    .array(z.strictObject({ announcement, origin: text, ageMs }))
    .max(messageLimits.members),
  loads: z
    .array(
      z.strictObject({
        ...{ id: text, incarnation: count, sequence: count, running: count },
        ...{ origin: text, ageMs },
      }),
    )
    .max(messageLimits.members),
  daemons: z
    .array(z.strictObject({ row: daemonRow, origin: text, ageMs }))
    .max(messageLimits.members),
  usage: z.array(z.strictObject({ hub: text, rates: usage, ageMs })).max(maxControlNodes),
  at: daemonRow.shape.at,
}) as unknown as z.ZodType<GossipMessage>;
