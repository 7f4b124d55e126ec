import { request, type ClientRequest } from 'node:http';
import { splitAddress } from '@vanillarelay/daemon';
import { CallFailure } from './call-failure.js';
import type { EndpointCall } from './endpoint-call.js';

/** Errors of Node about the request itself; all other errors are about the endpoint's address. */
const requestErrors: ReadonlySet<string | undefined> = new Set([
  'ERR_INVALID_CHAR',
  'ERR_INVALID_HTTP_TOKEN',
  'ERR_HTTP_INVALID_HEADER_VALUE',
  'ERR_UNESCAPED_CHARACTERS',
]);

/** Opens a request to an endpoint; throws a `CallFailure` when Node rejects its head or address. */
export function openRequest(call: EndpointCall): ClientRequest {
  const { address, method, path, headers, agent } = call;
  const { host, port } = splitAddress(address);
  try {
    return request({ host, port, method, path, headers, agent });
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    throw new CallFailure(requestErrors.has(code) ? 'invalid' : 'refused', false, message);
  }
}
