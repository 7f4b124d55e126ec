import type { AppendRequest, SnapshotRequest, VoteRequest } from '@vanillarelay/control';
import { z } from 'zod';
import { messageLimits } from './message-limits.js';
import { reportSchema } from './report-schema.js';

const { text, count } = reportSchema;

const sender = z.strictObject({
  id: text,
  diskId: text,
  incarnation: count,
  startIndex: count,
  commitIndex: count,
  at: count,
});

const mark = z.strictObject({
  incarnation: count,
  startIndex: count.optional(),
  commitIndex: count,
});

const entry = z.strictObject({
  term: count,
  index: count,
  at: count,
  kind: z.enum(['command', 'group', 'empty']),
  data: z.string(),
});

const vote = z.strictObject({
  from: sender,
  toDisk: text.optional(),
  term: count,
  lastIndex: count,
  lastTerm: count,
  isPreVote: z.boolean(),
});

const append = z.strictObject({
  from: sender,
  toDisk: text,
  term: count,
  previousIndex: count,
  previousTerm: count,
  entries: z.array(entry).max(messageLimits.entries),
  commitIndex: count,
  quorumAgeMs: z.number().min(0),
  echo: z.strictObject({ incarnation: count, mark: z.number() }).optional(),
  marks: z.record(text, mark),
});

const snapshot = z.strictObject({
  from: sender,
  toDisk: text,
  term: count,
  index: count,
  offset: count,
  totalBytes: count,
  data: z.string(),
});

/** Schemas of Raft messages; the payload limit of a WebSocket message bounds their size. */
export const raftSchema = {
  vote: vote as unknown as z.ZodType<VoteRequest>,
  append: append as unknown as z.ZodType<AppendRequest>,
  snapshot: snapshot as unknown as z.ZodType<SnapshotRequest>,
  replacement: z.strictObject({ id: text, by: z.strictObject({ id: text, address: text }) }),
};
