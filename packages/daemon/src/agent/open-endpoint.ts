import { RelayError, ResultCode, type EndpointClient } from '@vanillarelay/core';
import { Pool } from 'undici';
import { toPlainHeaders } from '../http/to-plain-headers.js';

/** Opens an HTTP client of the endpoint. */
export function openEndpoint(address: string): EndpointClient {
  const pool = new Pool(`http://${address}`, {
    connections: 256,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    run: async ({ method, path, headers, body }, signal) => {
      try {
        const answer = await pool.request({
          method,
          path,
          headers,
          body: body.length > 0 ? body : null,
          signal,
        });
        return {
          status: answer.statusCode,
          headers: toPlainHeaders(answer.headers),
          body: answer.body,
        };
      } catch (cause) {
        const notRun = (cause as { code?: string }).code === 'ECONNREFUSED';
        throw new RelayError(ResultCode.endpointFailed, (cause as Error).message, {
          notRun,
          cause,
        });
      }
    },
    readHealth: async (signal) => {
      const { body } = await pool.request({ method: 'GET', path: '/health', signal });
      return (await body.json()) as { instance: string; cold: boolean; running: number };
    },
    sendOrder: async (order) => {
      const { body } = await pool.request({
        method: 'POST',
        path: '/orders',
        body: JSON.stringify(order),
      });
      await body.dump();
    },
    exportCache: async () => undefined,
    importCache: async () => {},
  };
}
