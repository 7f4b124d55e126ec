import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { TlsFiles } from '../trust/tls-files.js';

interface HttpServerOptions extends ServerOptions {
  tls?: TlsFiles | undefined;
}

/** Makes an HTTP server, with TLS when the files are given. */
export function createHttpServer(
  { tls, ...options }: HttpServerOptions,
  listener?: RequestListener,
): Server {
  if (!tls) return createServer(options, listener);
  return createTlsServer({ ...options, cert: tls.cert, key: tls.key }, listener);
}
