import type { Refusal } from '@vanillarelay/core';
import { abortAnswer } from './abort-answer.js';
import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';

/** Fails a request that may have run. */
export function failRequest(
  request: RoutedRequest,
  result: RequestResult,
  refusal: Refusal,
): RequestResult {
  if (request.caller.hasSentHead()) return { ...abortAnswer(request, result), refusal };
  return { ...result, outcome: 'failed', refusal };
}
