import { createServer, type Server } from 'node:http';

/** Creates the server that answers every request with the metrics in Prometheus's text format. */
export function createMetricsServer(formatMetrics: () => string): Server {
  return createServer((_, response) => {
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(formatMetrics());
  });
}
