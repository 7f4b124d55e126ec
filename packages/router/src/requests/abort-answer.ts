import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';

/** Breaks off an answer whose head the caller has already received. */
export function abortAnswer({ caller }: RoutedRequest, result: RequestResult): RequestResult {
  caller.abort();
  return { ...result, outcome: 'brokenOff' };
}
