import {
  toRefusal,
  withDeadline,
  type AttemptId,
  type Clock,
  type CommandResult,
  type ControlClient,
  type Random,
} from '@vanillarelay/core';
import { z } from 'zod';
import type { ParsedRequest } from '../requests/parsed-request.js';
import { computeBackoff } from './compute-backoff.js';
import type { VoidResult } from './void-result.js';

interface VoidOptions {
  clock: Clock;
  random: Random;
  propose: ControlClient['propose'];
}

/** Covers one election of the control group. */
const voidWindowMs = 5_000;

/**
 * Voids an attempt whose agent was lost, or that is given up. Voided attempts have not run and never
 * will; the record tells whether another attempt under the key has.
 */
export async function voidAttempt(
  { clock, random, propose }: VoidOptions,
  { account, idempotencyKey }: ParsedRequest,
  attemptId: AttemptId,
): Promise<VoidResult> {
  if (idempotencyKey === undefined) return { isVoided: false };
  const command = { type: 'void', account, key: idempotencyKey, attemptId } as const;
  const endAt = clock.monotonic() + voidWindowMs;
  // A repeated void of the same attempt gets the same answer, so a lost answer is asked for again.
  for (let round = 0; ; round += 1) {
    const leftMs = endAt - clock.monotonic();
    if (leftMs <= 0) return { isVoided: false };
    try {
      const result = await withDeadline(clock, leftMs, (signal) => propose(command, signal));
      return parseResult(result);
    } catch (error) {
      await clock.wait(computeBackoff(round, random, toRefusal(error).retryAfterMs));
    }
  }
}

const recordValue = z.object({
  record: z.object({
    bodyHash: z.string(),
    answer: z.object({ status: z.number(), contentType: z.string(), body: z.string() }).optional(),
  }),
});

/** The log names the record of a key under which something has run. */
function parseResult(result: CommandResult): VoidResult {
  const parsed = recordValue.safeParse(result.ok ? result.value : result.details);
  return { isVoided: result.ok, ...(parsed.success ? { record: parsed.data.record } : {}) };
}
