import type { CommandResult, RecordView } from '@vanillarelay/core';
import { z } from 'zod';

const recordView = z.object({
  status: z.enum(['running', 'done', 'unkept', 'unknown']),
  bodyHash: z.string(),
  endpoint: z.string().optional(),
  incarnation: z.number().optional(),
  answer: z.object({ status: z.int(), contentType: z.string(), body: z.string() }).optional(),
});

/** Returns the record in the details of a refused claim; undefined if there is none. */
export function parseClaimResult(
  result: Extract<CommandResult, { ok: false }>,
): RecordView | undefined {
  const parsed = recordView.safeParse(result.details?.record);
  return parsed.success ? parsed.data : undefined;
}
