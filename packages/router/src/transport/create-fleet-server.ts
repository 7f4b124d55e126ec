import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { RelayError, ResultCode, toRefusal } from '@vanillarelay/core';
import { readBody } from '@vanillarelay/daemon';
import type { FleetPeer } from '@vanillarelay/fleet';
import { decodeMessage } from './decode-message.js';
import { encodeMessage } from './encode-message.js';
import { fleetPaths } from './fleet-paths.js';
import { maxMessageBytes } from './max-message-bytes.js';

type Handler = (body: never, signal: AbortSignal) => Promise<unknown>;

interface FleetServerOptions {
  handlers: FleetPeer;
  /** Returns the text for GET /metrics. */
  formatMetrics: () => string | Promise<string>;
}

const idleTimeoutMs = 60_000;
const metricsPath = '/metrics';

/** Creates the server for the calls between daemons. */
export function createFleetServer({ handlers, formatMetrics }: FleetServerOptions): Server {
  const routes = new Map<string, Handler>([
    [fleetPaths.hello, handlers.hello],
    [fleetPaths.sync, handlers.sync],
    [fleetPaths.announce, handlers.announce],
    [fleetPaths.propose, handlers.propose],
    [fleetPaths.readIndex, (_, signal) => handlers.readIndex(signal)],
    [fleetPaths.requestRemoval, handlers.requestRemoval],
    [fleetPaths.requestVote, handlers.raft.requestVote],
    [fleetPaths.appendEntries, handlers.raft.appendEntries],
    [fleetPaths.installSnapshot, handlers.raft.installSnapshot],
    [fleetPaths.readSender, (_, signal) => handlers.raft.readSender(signal)],
  ]);

  const handleMessage = async (
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const { url = '' } = message;
    const disconnected = new AbortController();
    response.once('close', () => disconnected.abort());
    try {
      if (url === metricsPath) {
        response.end(await formatMetrics());
        return;
      }
      const handle = routes.get(url);
      if (!handle) throw new RelayError(ResultCode.unknownPath, `unknown path ${url}`);
      const body = decodeMessage<never>(message, await readBody(message, maxMessageBytes));
      const reply = await handle(body, disconnected.signal);
      sendJson(response, 200, reply ?? {});
    } catch (error) {
      sendJson(response, 500, { refusal: toRefusal(error) });
    }
  };

  return createServer({ keepAliveTimeout: idleTimeoutMs }, (message, response) => {
    void handleMessage(message, response);
  });
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const { payload, headers } = encodeMessage(body);
  response.writeHead(status, headers);
  response.end(payload);
}
