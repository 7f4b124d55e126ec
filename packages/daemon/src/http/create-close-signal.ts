import type { ServerResponse } from 'node:http';

/** Events of a connection after which its peer reads no more answers. */
const closingEvents = ['end', 'error', 'close'] as const;

/** Creates a signal that aborts when the connection ends before the answer is complete. */
export function createCloseSignal(response: ServerResponse): AbortSignal {
  const { socket } = response.req;
  const controller = new AbortController();
  const abort = () => {
    if (!response.writableFinished) controller.abort();
  };
  // The end of a connection is known before the connection is closed.
  closingEvents.forEach((event) => socket.once(event, abort));
  response.once('close', () => {
    closingEvents.forEach((event) => socket.removeListener(event, abort));
    abort();
  });
  return controller.signal;
}
