import type { ResultCode } from '@vanillarelay/core';
import { endFailed } from './end-failed.js';
import { refuseRequest } from './refuse-request.js';
import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunState } from './run-state.js';

/** Ends a request that is not sent (again); it is refused unless an earlier send may have run. */
export function endWithoutSend(
  request: RoutedRequest,
  state: RunState,
  code: ResultCode,
  reason: string,
  retryAfterMs?: number,
): RequestResult {
  if (state.possibleRuns > 0) return endFailed(request, state);
  const message = `${reason}; ${state.lastReason}`;
  return refuseRequest(request, state.result, code, message, retryAfterMs);
}
