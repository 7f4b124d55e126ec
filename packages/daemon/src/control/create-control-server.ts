import type { IncomingMessage, Server } from 'node:http';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer } from 'ws';
import { createHttpServer } from '../http/create-http-server.js';
import { findRole } from '../trust/find-role.js';
import type { TlsFiles } from '../trust/tls-files.js';
import type { ControlContext } from './control-context.js';
import { controlKeyHeader } from './control-key-header.js';
import type { ControlRouter } from './control-router.js';
import { messageLimits } from './message-limits.js';

interface ControlServerOptions {
  router: ControlRouter;
  peerKeys: readonly string[];
  operatorKeys: readonly string[];
  tls?: TlsFiles | undefined;
  /** Called for a connection without a valid key. */
  reportUnauthorized: (address: string) => void;
  /** Called for a message that a schema or a handler refuses. */
  reportRefusal: (path: string, message: string) => void;
}

/** Creates the server of a control node. Connections without a valid key are not upgraded. */
export function createControlServer(options: ControlServerOptions): Server & { stop(): void } {
  const { router, tls, reportUnauthorized, reportRefusal } = options;
  const readRole = (request: IncomingMessage) =>
    findRole(options, request.headers[controlKeyHeader]);
  const server = createHttpServer({ tls }, (_, response) => response.writeHead(404).end());
  const webSockets = new WebSocketServer({
    noServer: true,
    maxPayload: messageLimits.payloadBytes,
  });
  server.on('upgrade', (request, socket, head) => {
    if (!readRole(request)) {
      reportUnauthorized(request.socket.remoteAddress ?? '');
      socket.end('HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n');
      return;
    }
    webSockets.handleUpgrade(request, socket, head, (webSocket) => {
      webSockets.emit('connection', webSocket, request);
    });
  });
  applyWSSHandler({
    wss: webSockets,
    router,
    keepAlive: { enabled: true, pingMs: 15_000, pongWaitMs: 5_000 },
    createContext: ({ req }): ControlContext => {
      const role = readRole(req);
      if (!role) throw new Error('unauthorized');
      return { role };
    },
    onError: ({ path, error }) => reportRefusal(path ?? '', error.message),
  });
  return Object.assign(server, {
    stop: () => {
      webSockets.clients.forEach((client) => client.terminate());
      webSockets.close();
      server.close();
    },
  });
}
