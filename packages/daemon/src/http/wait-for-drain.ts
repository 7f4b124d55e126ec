import type { ServerResponse } from 'node:http';

/** Resolves when the response takes more, is closed, or has taken nothing for `limitMs`. */
export function waitForDrain(response: ServerResponse, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => response.destroy(), limitMs);
    const wake = () => {
      clearTimeout(timer);
      response.removeListener('drain', wake);
      response.removeListener('close', wake);
      resolve();
    };
    response.once('drain', wake);
    response.once('close', wake);
  });
}
