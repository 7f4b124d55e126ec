import { ResultCode } from '@vanillarelay/core';
import { failRequest } from './fail-request.js';
import { refuseRequest } from './refuse-request.js';
import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunState } from './run-state.js';

/** Ends a request after its last attempt; it is refused if it has certainly not run anywhere. */
export function endFailed(request: RoutedRequest, state: RunState): RequestResult {
  if (state.possibleRuns === 0) {
    return refuseRequest(request, state.result, ResultCode.noEndpoint, state.lastReason);
  }
  return failRequest(request, state.result, {
    code: ResultCode.outcomeUnknown,
    message: state.lastReason,
    notRun: false,
  });
}
