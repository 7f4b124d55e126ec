import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AgentClient, PlacementNote, StreamId, TimelineEvent } from '@vanillarelay/core';
import { createCloseSignal } from '../http/create-close-signal.js';
import { createHttpServer } from '../http/create-http-server.js';
import { readBody } from '../http/read-body.js';
import { writeBody } from '../http/write-body.js';
import { hasKey } from '../trust/has-key.js';
import type { TlsFiles } from '../trust/tls-files.js';
import type { DispatchHead } from './dispatch-head.js';
import { dispatchHeaders } from './dispatch-headers.js';

interface AgentServerOptions {
  handlers: AgentClient;
  peerKeys: readonly string[];
  /** Plain HTTP when absent. */
  tls?: TlsFiles | undefined;
  listTimeline: () => TimelineEvent[];
  /** Called when a request presents no valid key. */
  reportStranger: (path: string) => void;
}

const bodyLimitBytes = 32 * 1024 * 1024;

/** Makes the HTTP server of an agent. */
export function createAgentServer(options: AgentServerOptions): Server {
  const { handlers, peerKeys, listTimeline, reportStranger } = options;

  const handleDispatch = async (
    head: DispatchHead,
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const body = await readBody(request, bodyLimitBytes);
    const reply = await handlers.dispatch({ ...head, body }, createCloseSignal(response));
    if (reply.type === 'refusal') {
      response.writeHead(503, { [dispatchHeaders.reply]: JSON.stringify(reply) }).end();
      return;
    }
    const { body: answer, ...replyHead } = reply;
    response.writeHead(200, { [dispatchHeaders.reply]: JSON.stringify(replyHead) });
    await writeBody(response, answer);
  };

  const handleQuery = async (path: string, head: unknown): Promise<unknown> => {
    if (path === '/relay/contact') {
      const { stateVersion } = head as { stateVersion: number };
      return handlers.readContact(stateVersion, new AbortController().signal);
    }
    if (path === '/relay/placement') await handlers.notePlacement(head as PlacementNote);
    if (path === '/relay/cancel') await handlers.cancel((head as { streamId: StreamId }).streamId);
    if (path === '/relay/timeline') return listTimeline();
    return null;
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (!hasKey(peerKeys, request.headers[dispatchHeaders.key] as string | undefined)) {
      reportStranger(request.url ?? '');
      response.writeHead(401).end();
      return;
    }
    const head = JSON.parse(String(request.headers[dispatchHeaders.request] ?? '{}')) as unknown;
    if (request.url === '/relay/dispatch') {
      await handleDispatch(head as DispatchHead, request, response);
      return;
    }
    response.end(JSON.stringify(await handleQuery(request.url ?? '', head)) ?? 'null');
  };

  return createHttpServer(options.tls, (request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
}
