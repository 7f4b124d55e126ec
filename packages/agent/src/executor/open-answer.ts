import {
  RelayError,
  ResultCode,
  type DispatchRequest,
  type EndpointAnswer,
  type EndpointClient,
} from '@vanillarelay/core';
import { buildEndpointRequest } from './build-endpoint-request.js';

/**
 * Sends a request to the endpoint and resolves when its answer begins; rejects with `notRun: true`
 * when the endpoint cannot have received the request. Does not wait for an endpoint that ignores
 * the signal.
 */
export async function openAnswer(
  endpoint: EndpointClient,
  request: DispatchRequest,
  signal: AbortSignal,
): Promise<EndpointAnswer> {
  const aborted = new Promise<never>((_, reject) => {
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
