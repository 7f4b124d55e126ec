import type { Refusal } from '@vanillarelay/core';
import type { RequestResult } from '../request-result.js';
import type { RoutedRequest } from '../routed-request.js';
import type { Ending } from './ending.js';
import { maxRetryAfterMs } from './max-retry-after-ms.js';

const minRetryAfterMs = 50;
/** Retry time of a refused caller, as a share of the request's time limit. */
const retryAfterShare = 0.25;

/**
 * Carries out the end of a request. An answer whose head the caller has already received cannot be
 * replaced, so it is broken off.
 */
export function endRequest(
  request: RoutedRequest,
  result: RequestResult,
  ending: Ending,
): RequestResult {
  const { caller } = request;
  if (ending.type === 'answered') return { ...result, outcome: 'answered', status: ending.status };
  if (ending.type === 'callerLeft') return { ...result, outcome: 'callerLeft' };
  const refusal = buildRefusal(request, ending);
  if (caller.hasSentHead()) {
    caller.abort();
    return { ...result, outcome: 'brokenOff', ...(ending.type === 'fail' ? { refusal } : {}) };
  }
  return { ...result, outcome: ending.type === 'fail' ? 'failed' : 'refused', refusal };
}

function buildRefusal(
  request: RoutedRequest,
  ending: Extract<Ending, { type: 'refuse' | 'fail' }>,
): Refusal {
  const { code, message } = ending;
  if (ending.type === 'fail') return { code, message, notRun: false };
  return { code, message, notRun: true, retryAfterMs: computeRetryAfter(request, ending) };
}

function computeRetryAfter(
  { facts, route }: RoutedRequest,
  { retryAfterMs }: { retryAfterMs?: number },
): number {
  const limitMs = facts.deadlineMs ?? route.timeoutMs;
  const proposedMs = retryAfterMs ?? limitMs * retryAfterShare;
  return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, proposedMs)));
}
