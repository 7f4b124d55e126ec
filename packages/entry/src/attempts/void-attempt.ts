import {
  toRefusal,
  withDeadline,
  type AttemptId,
  type Clock,
  type ControlClient,
  type Random,
} from '@vanillarelay/core';
import type { ParsedRequest } from '../requests/parsed-request.js';
import { computeBackoff } from './compute-backoff.js';

interface VoidOptions {
  clock: Clock;
  random: Random;
  propose: ControlClient['propose'];
}

/** Covers one election of the control group. */
const voidWindowMs = 5_000;

/**
 * Voids an attempt whose agent was lost. True only when the void was granted: the attempt then has
 * not run and never will.
 */
export async function voidAttempt(
  { clock, random, propose }: VoidOptions,
  { account, idempotencyKey }: ParsedRequest,
  attemptId: AttemptId,
): Promise<boolean> {
  if (idempotencyKey === undefined) return false;
  const command = { type: 'void', account, key: idempotencyKey, attemptId } as const;
  const endAt = clock.monotonic() + voidWindowMs;
  // A repeated void of the same attempt gets the same answer, so a lost answer is asked for again.
  for (let round = 0; ; round += 1) {
    const leftMs = endAt - clock.monotonic();
    if (leftMs <= 0) return false;
    try {
      return (await withDeadline(clock, leftMs, (signal) => propose(command, signal))).ok;
    } catch (error) {
      await clock.wait(computeBackoff(round, random, toRefusal(error).retryAfterMs));
    }
  }
}
