import type { Server } from 'node:http';

/** Interval at which connections that have become idle are closed. */
const idleCheckIntervalMs = 100;

/** Stops accepting connections and resolves when all requests in progress have ended. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(() => server.closeIdleConnections(), idleCheckIntervalMs);
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
    server.closeIdleConnections();
  });
}
