import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Caller } from '../requests/caller.js';

/** Creates a `Caller` on top of a server's request and response. */
export function createCaller(
  message: IncomingMessage,
  response: ServerResponse,
  isClosing: () => boolean,
): Caller {
  const disconnected = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) disconnected.abort();
  });
  return {
    signal: disconnected.signal,
    hasSentHead: () => response.headersSent,
    sendHead: (status, headers) => {
      if (response.headersSent || disconnected.signal.aborted) return;
      if (isClosing()) response.shouldKeepAlive = false;
      response.writeHead(status, headers as string[]);
    },
    sendChunk: async (bytes) => {
      if (disconnected.signal.aborted || response.write(bytes)) return;
      await new Promise<void>((resolve) => {
        const release = () => {
          response.removeListener('drain', release);
          disconnected.signal.removeEventListener('abort', release);
          resolve();
        };
        response.once('drain', release);
        disconnected.signal.addEventListener('abort', release, { once: true });
      });
    },
    finish: (bytes) => {
      if (bytes && bytes.length > 0) response.end(bytes);
      else response.end();
    },
    abort: () => message.socket.destroy(),
  };
}
