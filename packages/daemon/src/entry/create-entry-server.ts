import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  RelayError,
  toRefusal,
  type RequestId,
  toId,
  type TimelineEvent,
} from '@vanillarelay/core';
import { buildProblem, type CallerReply, type CallerRequest } from '@vanillarelay/entry';
import { createCloseSignal } from '../http/create-close-signal.js';
import { createHttpServer } from '../http/create-http-server.js';
import { readBody } from '../http/read-body.js';
import { toPlainHeaders } from '../http/to-plain-headers.js';
import { writeBody } from '../http/write-body.js';
import { hasKey } from '../trust/has-key.js';
import type { TlsFiles } from '../trust/tls-files.js';

interface EntryServerOptions {
  handle: (request: CallerRequest, signal: AbortSignal) => Promise<CallerReply>;
  isReady: () => boolean;
  operatorKeys: readonly string[];
  listTimeline: () => TimelineEvent[];
  /** Plain HTTP when absent. */
  tls?: TlsFiles | undefined;
}

const bodyLimitBytes = 16 * 1024 * 1024;

/** Makes the callers' HTTP server of an entry. */
export function createEntryServer({
  handle,
  isReady,
  operatorKeys,
  listTimeline,
  tls,
}: EntryServerOptions): Server {
  const handleCaller = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const signal = createCloseSignal(response);
    let reply: CallerReply;
    try {
      const body = await readBody(request, bodyLimitBytes);
      const headers = toPlainHeaders(request.headers);
      reply = await handle(
        { method: request.method ?? 'GET', path: request.url ?? '/', headers, body },
        signal,
      );
    } catch (error) {
      if (!(error instanceof RelayError)) throw error;
      reply = buildProblem(toRefusal(error), toId<RequestId>('none'));
    }
    response.writeHead(reply.status, reply.headers);
    await writeBody(response, reply.body);
  };

  const handleOperator = (request: IncomingMessage, response: ServerResponse): void => {
    if (!hasKey(operatorKeys, request.headers['x-relay-key'] as string | undefined)) {
      response.writeHead(401).end();
    } else if (request.url === '/relay/timeline') {
      response.end(JSON.stringify(listTimeline()));
    } else {
      response.writeHead(404).end();
    }
  };

  return createHttpServer(tls, (request, response) => {
    if (request.url === '/health/live') {
      response.writeHead(200).end('live');
    } else if (request.url === '/health/ready') {
      response.writeHead(isReady() ? 200 : 503).end(isReady() ? 'ready' : 'not ready');
    } else if (request.url?.startsWith('/relay/')) {
      handleOperator(request, response);
    } else {
      handleCaller(request, response).catch(() => response.destroy());
    }
  });
}
