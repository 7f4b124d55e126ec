import type { CommandResult, RecordView } from '@vanillarelay/core';
import { z } from 'zod';

const recordView = z.object({
  status: z.enum(['running', 'done', 'unkept', 'unknown']),
  bodyHash: z.string(),
  endpoint: z.string().optional(),
  incarnation: z.number().optional(),
  answer: z.object({ status: z.int(), contentType: z.string(), body: z.string() }).optional(),
});

/** The record that a claim's result tells of; undefined when it tells of none. */
export function parseClaimResult(result: CommandResult): RecordView | undefined {
  const candidates = result.ok
    ? [result.value]
    : [result.details, result.details?.record, result.details?.value];
  for (const candidate of candidates) {
    const parsed = recordView.safeParse(candidate);
    if (parsed.success) return parsed.data;
  }
  return undefined;
}
