import { createServer, type Server } from 'node:http';
import type { EndpointClient } from '@vanillarelay/core';
import { createCloseSignal } from '../http/create-close-signal.js';
import { readBody } from '../http/read-body.js';
import { toPlainHeaders } from '../http/to-plain-headers.js';
import { writeBody } from '../http/write-body.js';

const bodyLimitBytes = 32 * 1024 * 1024;

/** Makes an HTTP server for a fake endpoint. */
export function createEndpointServer(endpoint: EndpointClient): Server {
  return createServer((request, response) => {
    const signal = createCloseSignal(response);
    const handle = async () => {
      if (request.url === '/health') {
        response.end(JSON.stringify(await endpoint.readHealth(signal)));
        return;
      }
      const body = await readBody(request, bodyLimitBytes);
      const { method = 'GET', url: path = '/' } = request;
      const answer = await endpoint.run(
        { method, path, headers: toPlainHeaders(request.headers), body },
        signal,
      );
      response.writeHead(answer.status, answer.headers);
      await writeBody(response, answer.body);
    };
    handle().catch(() => response.destroy());
  });
}
