import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AccountId, HistogramSummary, TimelineEvent } from '@vanillarelay/core';
import type { CallerReply, createEntry } from '@vanillarelay/entry';
import { createCloseSignal } from '../http/create-close-signal.js';
import { createHttpServer } from '../http/create-http-server.js';
import { readBody } from '../http/read-body.js';
import { toPlainHeaders } from '../http/to-plain-headers.js';
import { waitForInput } from '../http/wait-for-input.js';
import { writeBody } from '../http/write-body.js';
import { writeEarly } from '../http/write-early.js';
import { hasKey } from '../trust/has-key.js';
import type { TlsFiles } from '../trust/tls-files.js';
import { callerLimits } from './caller-limits.js';
import { refuseMalformed } from './refuse-malformed.js';

interface EntryServerOptions {
  entry: Pick<
    ReturnType<typeof createEntry>,
    'handle' | 'checkCaller' | 'buildRefusalReply' | 'isReady'
  >;
  operatorKeys: readonly string[];
  /** Plain HTTP when absent. */
  tls?: TlsFiles | undefined;
  listTimeline: () => TimelineEvent[];
  listHistograms: () => HistogramSummary[];
  limits?: Partial<typeof callerLimits>;
}

/** Creates the HTTP server of an entry, for callers, operators and health checks. */
export function createEntryServer(options: EntryServerOptions): Server {
  const { entry, operatorKeys, listTimeline, listHistograms } = options;
  const limits = { ...callerLimits, ...options.limits };

  /** Sends a refusal before the whole request has been read. */
  const refuseEarly = async (
    request: IncomingMessage,
    response: ServerResponse,
    error: unknown,
  ): Promise<void> => {
    const reply = entry.buildRefusalReply(error);
    const chunks: Uint8Array[] = [];
    for await (const chunk of reply.body) chunks.push(chunk);
    await writeEarly(request, response, reply.status, reply.headers, Buffer.concat(chunks));
  };

  const handleCaller = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const signal = createCloseSignal(response);
    let account: AccountId;
    let body: Uint8Array;
    try {
      // Checked before the body is read, so that nobody without a key can send large bodies.
      account = entry.checkCaller(request.headers.authorization);
      body = await readBody(request, limits.bodyBytes);
    } catch (error) {
      await refuseEarly(request, response, error);
      return;
    }
    const { method = 'GET', url: path = '/' } = request;
    const headers = toPlainHeaders(request.headers);
    await waitForInput();
    if (signal.aborted) return;
    const reply: CallerReply = await entry.handle({ method, path, headers, body, account }, signal);
    if (!server.listening) reply.headers.connection = 'close';
    response.writeHead(reply.status, reply.headers);
    await writeBody(response, reply.body);
  };

  const handleOperator = (request: IncomingMessage, response: ServerResponse): void => {
    if (!hasKey(operatorKeys, request.headers['x-relay-key'] as string | undefined)) {
      response.writeHead(401).end();
      return;
    }
    const routes: Record<string, () => unknown> = {
      '/relay/timeline': listTimeline,
      '/relay/metrics': listHistograms,
    };
    const route = routes[request.url ?? ''];
    if (!route) response.writeHead(404).end();
    else {
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(route()));
    }
  };

  const server = createHttpServer(
    {
      tls: options.tls,
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersMs,
      requestTimeout: limits.requestMs,
      connectionsCheckingInterval: limits.checkIntervalMs,
    },
    (request, response) => {
      if (request.url === '/health/live') {
        response.writeHead(200).end('live');
      } else if (request.url === '/health/ready') {
        const isReady = entry.isReady();
        response.writeHead(isReady ? 200 : 503).end(isReady ? 'ready' : 'not ready');
      } else if (request.url?.startsWith('/relay/')) {
        handleOperator(request, response);
      } else {
        handleCaller(request, response).catch(() => response.destroy());
      }
    },
  );
  server.on('clientError', (error, socket) => {
    refuseMalformed(error, socket, entry.buildRefusalReply).catch(() => socket.destroy());
  });
  return server;
}
