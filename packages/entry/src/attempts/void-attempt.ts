import {
  toRefusal,
  withTimeout,
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

/** Long enough for one election of the control group. */
const voidTimeoutMs = 5_000;

/**
 * Asks the control group to void an attempt whose agent was lost or that was abandoned. A voided
 * attempt has not run and never will; the record shows whether another attempt with the same key
 * has run.
 */
export async function voidAttempt(
  { clock, random, propose }: VoidOptions,
  { account, idempotencyKey }: ParsedRequest,
  attemptId: AttemptId,
): Promise<VoidResult> {
  if (idempotencyKey === undefined) return { isVoided: false };
  const command = { type: 'void', account, key: idempotencyKey, attemptId } as const;
  const deadlineAt = clock.monotonic() + voidTimeoutMs;
  // Voiding the same attempt again has the same result, so the proposal is retried when its reply
  // is lost.
  for (let round = 0; ; round += 1) {
    const remainingMs = deadlineAt - clock.monotonic();
    if (remainingMs <= 0) return { isVoided: false };
    try {
      const result = await withTimeout(clock, remainingMs, (signal) => propose(command, signal));
      return parseResult(result);
    } catch (error) {
      await clock.wait(computeBackoff(round, random, toRefusal(error).retryAfterMs));
    }
  }
}

const recordSchema = z.object({
  record: z.object({
    bodyHash: z.string(),
    answer: z.object({ status: z.number(), contentType: z.string(), body: z.string() }).optional(),
  }),
});

/** The result contains the record of the key if a request with the key has run. */
function parseResult(result: CommandResult): VoidResult {
  const parsed = recordSchema.safeParse(result.ok ? result.value : result.details);
  return { isVoided: result.ok, ...(parsed.success ? { record: parsed.data.record } : {}) };
}
