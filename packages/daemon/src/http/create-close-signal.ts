import type { ServerResponse } from 'node:http';

/** Creates a signal that aborts when the connection closes before the answer is complete. */
export function createCloseSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
