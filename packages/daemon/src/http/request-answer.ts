import { RelayError, ResultCode } from '@vanillarelay/core';
import type { Dispatcher } from 'undici';
import { findHeadFault } from './find-head-fault.js';
import { isNotConnected } from './is-not-connected.js';

type Request = Omit<Dispatcher.RequestOptions, 'origin'>;

/**
 * Sends a request and resolves with its answer. Rejects with `connectionFailed` when there is none,
 * with `notRun: true` if no connection was made.
 */
export async function requestAnswer(
  dispatcher: Dispatcher,
  request: Request,
): Promise<Dispatcher.ResponseData> {
  const answer = await dispatcher.request(request as Dispatcher.RequestOptions).catch(fail);
  const fault = findHeadFault(answer);
  if (fault === undefined) return answer;
  // The body is unused, so its end has no effect.
  answer.body.on('error', () => {}).destroy();
  throw new RelayError(ResultCode.connectionFailed, `answered with ${fault}`);
}

function fail(cause: Error): never {
  throw new RelayError(ResultCode.connectionFailed, cause.message, {
    notRun: isNotConnected(cause),
    cause,
  });
}
