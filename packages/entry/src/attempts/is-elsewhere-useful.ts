import { ResultCode } from '@vanillarelay/core';

const usefulCodes: ReadonlySet<ResultCode> = new Set<ResultCode>([
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

/** Whether another attempt can succeed after a refusal with this code. */
export function isElsewhereUseful(code: ResultCode): boolean {
  return usefulCodes.has(code);
}
