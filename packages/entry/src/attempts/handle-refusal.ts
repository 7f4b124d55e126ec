import { RelayError, ResultCode, type EndpointId, type Refusal } from '@vanillarelay/core';
import type { ParsedRequest } from '../requests/parsed-request.js';
import { isRetryableElsewhere } from './is-retryable-elsewhere.js';
import { isPlacementRefusal } from './is-placement-refusal.js';
import type { RetryState } from './retry-state.js';

interface RefusedAttempt {
  request: ParsedRequest;
  endpoint: EndpointId;
  refusal: Refusal;
  spendRetry: () => boolean;
}

const maxRedirects = 2;
/** Failures after which a request is not retried, as it may be what crashes the endpoints. */
const maxFailures = 3;
const budgetRetryAfterMs = 1_000;

/** Records a refused attempt; throws when the request must not be retried. */
export function handleRefusal(retryState: RetryState, refusedAttempt: RefusedAttempt): void {
  const { request, endpoint, refusal, spendRetry } = refusedAttempt;
  if (!refusal.notRun) retryState.failures += 1;
  retryState.lastRefusal = refusal;
  // After a refusal for lack of capacity or because another endpoint holds the chat, this attempt
  // has not run, even if an earlier one with the same key has. Another attempt is then safe and
  // gets the stored answer.
  const isNotPlaced = isPlacementRefusal(refusal.code);
  const isSafe =
    refusal.notRun || isNotPlaced || (request.idempotent && retryState.failures < maxFailures);
  const isRetryable = isRetryableElsewhere(refusal.code) && isSafe;
  if (!isRetryable) throw buildError(retryState, refusal);
  retryState.dispatches += 1;
  if (refusal.code === ResultCode.chatElsewhere && retryState.redirects < maxRedirects) {
    retryState.redirects += 1;
    retryState.holder = refusal.holder;
    retryState.isHolderLookupDone = true;
    return;
  }
  retryState.tried.add(endpoint);
  if (isNotPlaced) {
    retryState.isHolderLookupDone = true;
    retryState.busyRefusals += 1;
  }
  if (isNotPlaced && refusal.code !== ResultCode.queueFull) return;
  if (request.mustArrive || spendRetry()) return;
  throw buildError(retryState, {
    ...refusal,
    retryAfterMs: refusal.retryAfterMs ?? budgetRetryAfterMs,
    code: ResultCode.retryBudgetSpent,
    message: `retry budget is spent, last refusal: ${refusal.message}`,
  });
}

function buildError(retryState: RetryState, { code, message, ...refusal }: Refusal): RelayError {
  return new RelayError(code, message, {
    ...refusal,
    notRun: refusal.notRun && retryState.failures === 0,
  });
}
