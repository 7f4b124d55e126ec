import { RelayError, ResultCode, type EndpointId, type Refusal } from '@vanillarelay/core';
import type { ParsedRequest } from '../requests/parsed-request.js';
import { isElsewhereUseful } from './is-elsewhere-useful.js';
import { isLoadRefusal } from './is-load-refusal.js';
import type { Progress } from './progress.js';

interface Settlement {
  request: ParsedRequest;
  endpoint: EndpointId;
  refusal: Refusal;
  spendRetry: () => boolean;
}

const highestRedirects = 2;
/** A request that breaks its endpoints must not reach many of them. */
const highestFailures = 3;
const budgetRetryAfterMs = 1_000;

/** Notes a refused attempt; throws when the request must not be tried again. */
export function handleRefusal(progress: Progress, settlement: Settlement): void {
  const { request, endpoint, refusal, spendRetry } = settlement;
  if (!refusal.notRun) progress.failures += 1;
  progress.last = refusal;
  // Without room this attempt has not run, even when an earlier one of the same key has: a further
  // attempt is safe then and finds the stored answer.
  const isPlacement = isLoadRefusal(refusal.code);
  const isSafe =
    refusal.notRun || isPlacement || (request.idempotent && progress.failures < highestFailures);
  const isRetryable = isElsewhereUseful(refusal.code) && isSafe;
  if (!isRetryable) throw buildError(progress, refusal);
  progress.dispatches += 1;
  if (refusal.code === ResultCode.chatElsewhere && progress.redirects < highestRedirects) {
    progress.redirects += 1;
    progress.holder = refusal.holder;
    progress.isHomeAsked = true;
    return;
  }
  progress.tried.add(endpoint);
  if (isPlacement) {
    progress.isHomeAsked = true;
    progress.busyRefusals += 1;
  }
  if (isPlacement && refusal.code !== ResultCode.queueFull) return;
  if (request.mustArrive || spendRetry()) return;
  throw buildError(progress, {
    ...refusal,
    retryAfterMs: refusal.retryAfterMs ?? budgetRetryAfterMs,
    code: ResultCode.retryBudgetSpent,
    message: `retry budget is spent, last refusal: ${refusal.message}`,
  });
}

function buildError(progress: Progress, { code, message, ...refusal }: Refusal): RelayError {
  return new RelayError(code, message, {
    ...refusal,
    notRun: refusal.notRun && progress.failures === 0,
  });
}
