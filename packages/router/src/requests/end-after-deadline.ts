import { ResultCode } from '@vanillarelay/core';
import { failRequest } from './fail-request.js';
import { refuseRequest } from './refuse-request.js';
import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunState } from './run-state.js';

/** Ends a request after its deadline. If it was never sent, it certainly has not run. */
export function endAfterDeadline(request: RoutedRequest, state: RunState): RequestResult {
  const { result } = state;
  if (result.sends.length === 0) {
    return refuseRequest(
      request,
      result,
      ResultCode.deadlineExceeded,
      'no endpoint was available before the deadline',
    );
  }
  return failRequest(request, result, {
    code: ResultCode.deadlineExceeded,
    message: 'the endpoint did not answer before the deadline',
    notRun: false,
  });
}
