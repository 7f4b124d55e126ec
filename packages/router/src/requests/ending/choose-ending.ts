import { ResultCode } from '@vanillarelay/core';
import type { RunState } from '../run-state.js';
import type { EndCause } from './end-cause.js';
import type { Ending } from './ending.js';

type Progress = Pick<RunState, 'possibleRuns' | 'lastReason' | 'result'>;

/** Chooses how a request ends: a refusal, which promises that it did not run, only if that is certain. */
export function chooseEnding(cause: EndCause, progress: Progress): Ending {
  const isNeverSent = progress.result.sends.length === 0;
  switch (cause.type) {
    case 'answered':
    case 'callerLeft':
      return cause;
    case 'notSent':
      return chooseWithoutSend(cause, progress);
    case 'attemptFailed':
      return chooseAfterFailure(progress);
    case 'stopping': {
      const message = 'this process stops before an endpoint has answered';
      return isNeverSent
        ? { type: 'refuse', code: ResultCode.notReady, message }
        : { type: 'fail', code: ResultCode.outcomeUnknown, message };
    }
    default: {
      const code = ResultCode.deadlineExceeded;
      return isNeverSent
        ? { type: 'refuse', code, message: 'no endpoint was available before the deadline' }
        : { type: 'fail', code, message: 'the endpoint did not answer before the deadline' };
    }
  }
}

function chooseWithoutSend(
  { code, reason, retryAfterMs }: Extract<EndCause, { type: 'notSent' }>,
  progress: Progress,
): Ending {
  if (progress.possibleRuns > 0) return chooseAfterFailure(progress);
  const message = `${reason}; ${progress.lastReason}`;
  return { type: 'refuse', code, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

function chooseAfterFailure({ possibleRuns, lastReason: message }: Progress): Ending {
  return possibleRuns === 0
    ? { type: 'refuse', code: ResultCode.noEndpoint, message }
    : { type: 'fail', code: ResultCode.outcomeUnknown, message };
}
