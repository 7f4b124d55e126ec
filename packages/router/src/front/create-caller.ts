import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Caller } from '../requests/caller.js';

/** Events of a connection after which its caller reads no more answers. */
const closingEvents = ['end', 'error', 'close'] as const;

/** Time after which a connection is closed whose caller reads nothing of a complete answer. */
const maxUnreadMs = 10_000;

/** Creates a `Caller` on top of a server's request and response. */
export function createCaller(
  message: IncomingMessage,
  response: ServerResponse,
  isClosing: () => boolean,
): Caller {
  const { socket } = message;
  const disconnected = new AbortController();
  const abort = () => {
    if (!response.writableFinished) disconnected.abort();
  };
  // The end of a connection is known before the connection is closed. A pipelined request has no
  // connection of its own whose end its response would report.
  closingEvents.forEach((event) => socket.once(event, abort));
  response.once('close', () => {
    closingEvents.forEach((event) => socket.removeListener(event, abort));
    abort();
  });
  return {
    signal: disconnected.signal,
    hasSentHead: () => response.headersSent,
    sendHead: (status, headers) => {
      if (response.headersSent || disconnected.signal.aborted) return;
      if (isClosing()) response.shouldKeepAlive = false;
      response.writeHead(status, headers as string[]);
    },
    sendChunk: async (bytes, signal) => {
      if (disconnected.signal.aborted || signal?.aborted || response.write(bytes)) return;
      await new Promise<void>((resolve) => {
        const release = () => {
          response.removeListener('drain', release);
          disconnected.signal.removeEventListener('abort', release);
          signal?.removeEventListener('abort', release);
          resolve();
        };
        response.once('drain', release);
        disconnected.signal.addEventListener('abort', release, { once: true });
        signal?.addEventListener('abort', release, { once: true });
      });
    },
    finish: (bytes, notifySent) => {
      if (notifySent) {
        if (response.closed) notifySent();
        else response.once('close', notifySent);
      }
      if (bytes && bytes.length > 0) response.end(bytes);
      else response.end();
      // A pipelined request's answer has no socket yet, and an earlier one may still run.
      if (!response.writableFinished) response.socket?.setTimeout(maxUnreadMs);
    },
    abort: () => socket.destroy(),
  };
}
