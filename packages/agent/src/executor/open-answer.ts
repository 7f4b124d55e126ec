import {
  RelayError,
  ResultCode,
  type DispatchRequest,
  type EndpointAnswer,
  type EndpointClient,
} from '@vanillarelay/core';
import { buildEndpointRequest } from './build-endpoint-request.js';

/**
 * Sends a request to the endpoint and resolves once the status and headers of the answer have
 * arrived. Rejects with `notRun: true` if the connection could not be opened, and with the signal's
 * reason as soon as the signal aborts, even if the endpoint ignores it.
 */
export async function openAnswer(
  endpoint: EndpointClient,
  request: DispatchRequest,
  signal: AbortSignal,
): Promise<EndpointAnswer> {
  const aborted = new Promise<never>((_, reject) => {
    // Only ends the wait; the catch block throws the signal's reason instead of this error.
    const abort = () => reject(new RelayError(ResultCode.cancelled, 'request cancelled'));
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort, { once: true });
  });
  try {
    return await Promise.race([endpoint.run(buildEndpointRequest(request), signal), aborted]);
  } catch (cause) {
    if (signal.aborted && signal.reason instanceof RelayError) throw signal.reason;
    throw new RelayError(ResultCode.endpointFailed, (cause as Error).message, {
      notRun: cause instanceof RelayError && cause.notRun,
      cause,
    });
  }
}
