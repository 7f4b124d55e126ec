import { RelayError, ResultCode, type EndpointClient } from '@vanillarelay/core';
import { Pool } from 'undici';
import { z } from 'zod';
import { createConnector } from '../http/create-connector.js';
import { readShortText } from '../http/read-short-text.js';
import { requestAnswer } from '../http/request-answer.js';
import { resetLimits } from '../http/reset-limits.js';
import { toPlainHeaders } from '../http/to-plain-headers.js';
import { wrapBody } from '../http/wrap-body.js';

/** The fields have defaults because a plain service only reports that it is alive. */
const healthSchema = z.object({
  instance: z.string().max(256).default(''),
  cold: z.boolean().default(false),
  running: z.number().default(0),
});

const maxHealthBytes = 64 * 1024;
/** The value 0 disables undici's limits on the time of an answer, which may be long. */
const noTimeouts = { headersTimeout: 0, bodyTimeout: 0 };
/** With the value 0, undici closes a connection after its answer. */
const noKeepAlive = { pipelining: 0 };
const conflictStatus = 409;
const notFoundStatus = 404;
const minErrorStatus = 400;

/** Opens an HTTP client for an endpoint. */
export function openEndpoint(address: string): EndpointClient {
  // No limit on connections: admission control limits requests, and health checks must not wait.
  const origin = `http://${address}`;
  const pool = new Pool(origin, { ...noTimeouts, connect: createConnector(0) });
  // A kept connection would look open to the next request while a reset is awaited behind its end.
  const uploadPool = new Pool(origin, {
    ...{ ...noTimeouts, ...noKeepAlive },
    connect: createConnector(resetLimits.waitMs),
  });

  const request = (options: Parameters<typeof requestAnswer>[1]) => requestAnswer(pool, options);

  return {
    run: async ({ method, path, headers, body }, signal) => {
      const isSmall = body.length <= resetLimits.maxSmallBodyBytes;
      const answer = await requestAnswer(isSmall ? pool : uploadPool, {
        method,
        path,
        headers,
        body: body.length > 0 ? body : null,
        signal,
      });
      return {
        status: answer.statusCode,
        headers: toPlainHeaders(answer.headers),
        body: wrapBody(answer.body),
      };
    },
    readHealth: async (signal) => {
      const { body } = await request({ method: 'GET', path: '/health', signal });
      const text = await readShortText(body, maxHealthBytes);
      return healthSchema.parse(parseObject(text));
    },
    sendOrder: async (order) => {
      const { statusCode, body } = await request({
        method: 'POST',
        path: '/orders',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
      });
      await body.dump();
      if (statusCode < minErrorStatus) return;
      const code =
        statusCode === conflictStatus ? ResultCode.staleFencingToken : ResultCode.endpointFailed;
      throw new RelayError(code, `endpoint answered an order with status ${statusCode}`);
    },
    exportCache: async (chat) => {
      const path = `/cache/${encodeURIComponent(chat)}`;
      const { statusCode, body } = await request({ method: 'GET', path });
      if (statusCode < minErrorStatus) return readAll(wrapBody(body));
      await body.dump();
      if (statusCode === notFoundStatus) return undefined;
      throw new RelayError(
        ResultCode.endpointFailed,
        `endpoint failed to export the prefix cache of a chat: status ${statusCode}`,
      );
    },
    importCache: async (chat, cache) => {
      const path = `/cache/${encodeURIComponent(chat)}`;
      const { statusCode, body } = await request({ method: 'PUT', path, body: cache });
      await body.dump();
      if (statusCode < minErrorStatus) return;
      throw new RelayError(
        ResultCode.endpointFailed,
        `endpoint failed to import the prefix cache of a chat: status ${statusCode}`,
      );
    },
  };
}

async function readAll(body: AsyncIterable<Uint8Array>): Promise<Uint8Array> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function parseObject(text: string): object {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}
