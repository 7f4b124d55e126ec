import type { ServerResponse } from 'node:http';

/**
 * Resolves when the response accepts more data or is closed; destroys it when it accepts no data
 * for `limitMs`.
 */
export function waitForDrain(response: ServerResponse, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => response.destroy(), limitMs);
    const settle = () => {
      clearTimeout(timer);
      response.removeListener('drain', settle);
      response.removeListener('close', settle);
      resolve();
    };
    response.once('drain', settle);
    response.once('close', settle);
  });
}
