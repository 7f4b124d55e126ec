import { createServer, type RequestListener, type Server } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { TlsFiles } from '../trust/tls-files.js';

/** Makes an HTTP server, with TLS when the files are given. */
export function createHttpServer(tls: TlsFiles | undefined, listener?: RequestListener): Server {
  if (!tls) return createServer(listener);
  return createTlsServer({ cert: tls.cert, key: tls.key }, listener);
}
