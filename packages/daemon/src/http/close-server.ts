import type { Server } from 'node:http';

const idleCheckMs = 100;

/** Stops accepting connections and resolves when all requests in progress have ended. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(() => server.closeIdleConnections(), idleCheckMs);
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
