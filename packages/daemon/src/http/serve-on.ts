import type { Server } from 'node:http';
import { splitAddress } from './split-address.js';

/** Resolves when the server listens on the address; rejects when it cannot. */
export function serveOn(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}
