import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { TlsFiles } from '../trust/tls-files.js';

interface HttpServerOptions extends ServerOptions {
  tls?: TlsFiles | undefined;
}

/** Creates an HTTP server, with TLS if the files are given. */
export function createHttpServer(
  { tls, ...options }: HttpServerOptions,
  listener?: RequestListener,
): Server {
  if (!tls) return createServer(options, listener);
  return createTlsServer({ ...options, cert: tls.cert, key: tls.key }, listener);
}
