import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  toRefusal,
  type AgentPeer,
  type DispatchReply,
  type TimelineEvent,
} from '@vanillarelay/core';
import { createCloseSignal } from '../http/create-close-signal.js';
import { createHttpServer } from '../http/create-http-server.js';
import { readBody } from '../http/read-body.js';
import { waitForInput } from '../http/wait-for-input.js';
import { writeBody } from '../http/write-body.js';
import { hasKey } from '../trust/has-key.js';
import type { TlsFiles } from '../trust/tls-files.js';
import { DispatchHead } from './dispatch-head.js';
import { dispatchHeaders } from './dispatch-headers.js';
import { encodeHead } from './encode-head.js';
import { parseHead } from './parse-head.js';
import { queryHeads } from './query-heads.js';

interface AgentServerOptions {
  handlers: AgentPeer;
  peerKeys: readonly string[];
  /** Keys with which operators may read the timeline. */
  operatorKeys?: readonly string[];
  /** Plain HTTP when absent. */
  tls?: TlsFiles | undefined;
  listTimeline: () => TimelineEvent[];
  /** Called for a request without a valid key. */
  reportUnauthorized: (path: string) => void;
}

type Route = (request: IncomingMessage, response: ServerResponse) => Promise<unknown>;

const timelinePath = '/relay/timeline';
const maxBodyBytes = 32 * 1024 * 1024;
const maxCacheBytes = 64 * 1024 * 1024;
/** Maximum size of all headers of a message together. */
const maxHeaderBytes = 64 * 1024;

/** Creates the HTTP server of an agent, for entries, other agents and operators. */
export function createAgentServer(options: AgentServerOptions): Server {
  const { handlers, peerKeys, operatorKeys = [], listTimeline, reportUnauthorized } = options;

  const writeReply = async (response: ServerResponse, reply: DispatchReply): Promise<void> => {
    if (reply.type === 'refusal') {
      response.writeHead(503, { [dispatchHeaders.reply]: encodeHead(reply) }).end();
      return;
    }
    const { body, ...replyHead } = reply;
    const length = replyHead.headers['content-length'];
    response.writeHead(200, {
      [dispatchHeaders.reply]: encodeHead(replyHead),
      ...(length === undefined ? {} : { 'content-length': length }),
    });
    // Flushes the headers before the first byte of the body, so that the peer learns early that an
    // answer has begun and that its connection works. The flush is deferred, so that a short answer
    // is complete by then and is sent together with its headers.
    const deferredFlush = setImmediate(() => response.flushHeaders());
    response.once('finish', () => clearImmediate(deferredFlush));
    await writeBody(response, body);
  };

  /** Handlers by path; those that do not write the response return a value that is sent as JSON. */
  const routes: Record<string, Route> = {
    '/relay/dispatch': async (request, response) => {
      const signal = createCloseSignal(response);
      const head = parseHead(request, DispatchHead);
      const body = await readBody(request, maxBodyBytes);
      await waitForInput();
      if (signal.aborted) return;
      await writeReply(response, await handlers.dispatch({ ...head, body }, signal));
    },
    '/relay/resume': async (request, response) => {
      const { streamId, after } = parseHead(request, queryHeads.resume);
      const signal = createCloseSignal(response);
      await writeReply(response, await handlers.resume(streamId, after, signal));
    },
    '/relay/contact': (request, response) => {
      const { stateVersion } = parseHead(request, queryHeads.contact);
      return handlers.readContact(stateVersion, createCloseSignal(response));
    },
    '/relay/placement': (request) =>
      handlers.announcePlacement(parseHead(request, queryHeads.placement)),
    '/relay/cancel': (request) => handlers.cancel(parseHead(request, queryHeads.cancel).streamId),
    '/relay/cache': async (request, response) => {
      const transfer = parseHead(request, queryHeads.cache);
      const cache = await readBody(request, maxCacheBytes);
      await handlers.importCache(transfer, cache, createCloseSignal(response));
    },
    [timelinePath]: async () => listTimeline(),
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const path = request.url ?? '';
    const header = request.headers[dispatchHeaders.key];
    const key = typeof header === 'string' ? header : undefined;
    const isOperator = path === timelinePath && hasKey(operatorKeys, key);
    if (!isOperator && !hasKey(peerKeys, key)) {
      reportUnauthorized(path);
      response.writeHead(401, { connection: 'close' }).end();
      return;
    }
    const route = Object.hasOwn(routes, path) ? routes[path] : undefined;
    if (!route) {
      response.writeHead(404).end();
      return;
    }
    try {
      const value = await route(request, response);
      if (!response.headersSent) response.end(JSON.stringify(value ?? null));
    } catch (error) {
      if (response.headersSent) throw error;
      const reply = { type: 'refusal', refusal: toRefusal(error), stateVersion: 0 };
      response.writeHead(400, { [dispatchHeaders.reply]: encodeHead(reply) }).end();
    }
  };

  return createHttpServer(
    { maxHeaderSize: maxHeaderBytes, tls: options.tls },
    (request, response) => {
      handle(request, response).catch(() => response.destroy());
    },
  );
}
