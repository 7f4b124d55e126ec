import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { RelayError, toRefusal, type EndpointClient, type EngineOrder } from '@vanillarelay/core';
import { createCloseSignal } from '../http/create-close-signal.js';
import { readBody } from '../http/read-body.js';
import { toPlainHeaders } from '../http/to-plain-headers.js';
import { writeBody } from '../http/write-body.js';

interface EndpointServerOptions {
  endpoint: EndpointClient;
  /**
   * Functions that control or inspect the endpoint, by name. `POST /switch/<name>` calls one and
   * answers with its result as JSON.
   */
  switches?: Record<string, () => unknown>;
}

const maxBodyBytes = 32 * 1024 * 1024;
const cachePath = '/cache/';

/**
 * Creates an HTTP server for a fake endpoint: `GET /health`, `POST /orders`, `GET` and `PUT
 * /cache/<chat>`, `POST /switch/<name>`; everything else is a request to the endpoint.
 */
export function createEndpointServer({ endpoint, switches = {} }: EndpointServerOptions): Server {
  const handleOrder = async (body: Uint8Array, response: ServerResponse): Promise<void> => {
    try {
      await endpoint.sendOrder(JSON.parse(Buffer.from(body).toString('utf8')) as EngineOrder);
      response.writeHead(204).end();
    } catch (error) {
      if (!(error instanceof RelayError) || error.notRun !== true) throw error;
      response.writeHead(409).end(JSON.stringify(toRefusal(error)));
    }
  };

  const handleCache = async (
    request: IncomingMessage,
    body: Uint8Array,
    response: ServerResponse,
  ): Promise<void> => {
    const chat = decodeURIComponent((request.url ?? '').slice(cachePath.length));
    if (request.method === 'PUT') {
      await endpoint.importCache(chat, body);
      response.writeHead(204).end();
      return;
    }
    const cache = await endpoint.exportCache(chat);
    response.writeHead(cache ? 200 : 404).end(cache);
  };

  const handleSwitch = (path: string, response: ServerResponse): void => {
    const run = switches[path.slice('/switch/'.length)];
    if (run) response.end(JSON.stringify(run() ?? null));
    else response.writeHead(404).end(JSON.stringify({ switches: Object.keys(switches) }));
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const signal = createCloseSignal(response);
    const { method = 'GET', url: path = '/' } = request;
    if (path === '/health') {
      response.end(JSON.stringify(await endpoint.readHealth(signal)));
    } else if (path.startsWith('/switch/')) {
      handleSwitch(path, response);
    } else {
      const body = await readBody(request, maxBodyBytes);
      if (path === '/orders') await handleOrder(body, response);
      else if (path.startsWith(cachePath)) await handleCache(request, body, response);
      else {
        const headers = toPlainHeaders(request.headers);
        const answer = await endpoint.run({ method, path, headers, body }, signal);
        response.writeHead(answer.status, answer.headers);
        await writeBody(response, answer.body);
      }
    }
  };

  return createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
}
