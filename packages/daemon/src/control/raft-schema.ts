import type { AppendRequest, SnapshotRequest, VoteRequest } from '@vanillarelay/control';
import { z } from 'zod';
import { messageLimits } from './message-limits.js';
import { reportSchema } from './report-schema.js';

const { text: nonEmptyText, count: nonNegativeInteger } = reportSchema;

const sender = z.strictObject({
  id: nonEmptyText,
  diskId: nonEmptyText,
  incarnation: nonNegativeInteger,
  startIndex: nonNegativeInteger,
  commitIndex: nonNegativeInteger,
  /** Wall time of the sender, in milliseconds since the epoch. */
  at: nonNegativeInteger,
});

const watermark = z.strictObject({
  incarnation: nonNegativeInteger,
  startIndex: nonNegativeInteger.optional(),
  commitIndex: nonNegativeInteger,
});

const entry = z.strictObject({
  term: nonNegativeInteger,
  index: nonNegativeInteger,
  /** Median of the voters' wall clocks, in milliseconds since the epoch. */
  at: nonNegativeInteger,
  kind: z.enum(['command', 'group', 'empty']),
  data: z.string(),
});

const entryPart = entry.extend({ offset: nonNegativeInteger, totalLength: nonNegativeInteger });

const vote = z.strictObject({
  from: sender,
  toDisk: nonEmptyText.optional(),
  term: nonNegativeInteger,
  lastIndex: nonNegativeInteger,
  lastTerm: nonNegativeInteger,
  isPreVote: z.boolean(),
});

const append = z.strictObject({
  from: sender,
  toDisk: nonEmptyText,
  term: nonNegativeInteger,
  previousIndex: nonNegativeInteger,
  previousTerm: nonNegativeInteger,
  entries: z.array(entry).max(messageLimits.entries),
  part: entryPart.optional(),
  commitIndex: nonNegativeInteger,
  quorumAgeMs: z.number().min(0),
  /** The incarnation and `mark` (monotonic time, in milliseconds) of the receiver's last reply. */
  echo: z.strictObject({ incarnation: nonNegativeInteger, mark: z.number() }).optional(),
  /** Watermarks by disk id. */
  marks: z.record(nonEmptyText, watermark),
});

const snapshot = z.strictObject({
  from: sender,
  toDisk: nonEmptyText,
  term: nonNegativeInteger,
  index: nonNegativeInteger,
  offset: nonNegativeInteger,
  totalBytes: nonNegativeInteger,
  data: z.string(),
});

/**
 * Schemas of Raft messages and of the replacement of a member; the payload limit of a WebSocket
 * message bounds their size.
 */
export const raftSchema = {
  vote: vote as unknown as z.ZodType<VoteRequest>,
  append: append as unknown as z.ZodType<AppendRequest>,
  snapshot: snapshot as unknown as z.ZodType<SnapshotRequest>,
  replacement: z.strictObject({
    id: nonEmptyText,
    by: z.strictObject({ id: nonEmptyText, address: nonEmptyText }),
  }),
};
