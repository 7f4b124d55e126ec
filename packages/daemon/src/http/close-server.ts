import type { Server } from 'node:http';

/** Resolves when the last answer is written; connections without a request are closed at once. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
