import type { Refusal, ResultCode } from '@vanillarelay/core';
import { abortAnswer } from './abort-answer.js';
import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';

const minRetryAfterMs = 50;
const maxRetryAfterMs = 1_000;
/** Retry time of a refused caller, as a share of the request's time limit. */
const retryAfterShare = 0.25;

/** Refuses a request that has not run, with a time after which the caller may retry. */
export function refuseRequest(
  request: RoutedRequest,
  result: RequestResult,
  code: ResultCode,
  message: string,
  retryAfterMs?: number,
): RequestResult {
  const { deadlineMs } = request.facts;
  const limitMs = deadlineMs ?? request.route.timeoutMs;
  const proposedMs = retryAfterMs ?? limitMs * retryAfterShare;
  const boundedMs = Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, proposedMs)));
  if (request.caller.hasSentHead()) return abortAnswer(request, result);
  const refusal: Refusal = { code, message, notRun: true, retryAfterMs: boundedMs };
  return { ...result, outcome: 'refused', refusal };
}
