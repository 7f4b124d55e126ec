import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Caller } from '../requests/caller.js';

/** Makes the caller's side of one exchange over a server's response. */
export function createCaller(
  message: IncomingMessage,
  response: ServerResponse,
  isClosing: () => boolean,
): Caller {
  const left = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) left.abort();
  });
  return {
    signal: left.signal,
    isBegun: () => response.headersSent,
    sendHead: (status, headers) => {
      if (response.headersSent || left.signal.aborted) return;
      if (isClosing()) response.shouldKeepAlive = false;
      response.writeHead(status, headers as string[]);
    },
    sendPart: async (bytes) => {
      if (left.signal.aborted || response.write(bytes)) return;
      await new Promise<void>((resolve) => {
        const release = () => {
          response.removeListener('drain', release);
          left.signal.removeEventListener('abort', release);
          resolve();
        };
        response.once('drain', release);
        left.signal.addEventListener('abort', release, { once: true });
      });
    },
    finish: (bytes) => {
      if (bytes && bytes.length > 0) response.end(bytes);
      else response.end();
    },
    breakOff: () => message.socket.destroy(),
  };
}
