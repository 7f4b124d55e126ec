import type { GossipMessage } from '@vanillarelay/control';
import { z } from 'zod';
import { messageLimits } from './message-limits.js';
import { reportSchema } from './report-schema.js';

const {
  announcement,
  count: nonNegativeInteger,
  daemonRow,
  text: nonEmptyText,
  usage,
} = reportSchema;
/** Time since a hub received the item from a daemon or computed it, in milliseconds. */
const ageMs = z.number().min(0);
const maxControlNodes = 7;

/** Schema of a message between hubs. */
export const gossipSchema = z.strictObject({
  from: nonEmptyText,
  epoch: nonEmptyText,
  hears: z.array(nonEmptyText).max(maxControlNodes),
  announcements: z
    .array(z.strictObject({ announcement, origin: nonEmptyText, ageMs }))
    .max(messageLimits.members),
  loads: z
    .array(
      z.strictObject({
        ...{
          id: nonEmptyText,
          incarnation: nonNegativeInteger,
          sequence: nonNegativeInteger,
          running: nonNegativeInteger,
        },
        ...{ origin: nonEmptyText, ageMs },
      }),
    )
    .max(messageLimits.members),
  daemons: z
    .array(z.strictObject({ row: daemonRow, origin: nonEmptyText, ageMs }))
    .max(messageLimits.members),
  usage: z.array(z.strictObject({ hub: nonEmptyText, rates: usage, ageMs })).max(maxControlNodes),
  at: daemonRow.shape.at,
}) as unknown as z.ZodType<GossipMessage>;
