import { ResultCode } from '@vanillarelay/core';

const retryableCodes: ReadonlySet<ResultCode> = new Set<ResultCode>([
  ResultCode.queueFull,
  ResultCode.noEndpoint,
  ResultCode.endpointBusy,
  ResultCode.endpointLeaving,
  ResultCode.dataCentreOut,
  ResultCode.notReady,
  ResultCode.isolated,
  ResultCode.chatElsewhere,
  ResultCode.staleState,
  ResultCode.endpointFailed,
  ResultCode.attemptVoided,
  ResultCode.noQuorum,
  ResultCode.notLeader,
  ResultCode.timeout,
  ResultCode.connectionFailed,
]);

/** Whether an attempt at another endpoint can succeed after a refusal with this code. */
export function isRetryableElsewhere(code: ResultCode): boolean {
  return retryableCodes.has(code);
}
