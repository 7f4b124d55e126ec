import type { Server } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';
import { splitAddress } from './split-address.js';

/**
 * Resolves when the server listens on the address; rejects with `addressInUse` when it cannot, for
 * whatever reason.
 */
export function listenOn(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const refuse = (cause: Error & { code?: string }) =>
      reject(
        new RelayError(
          ResultCode.addressInUse,
          `address: got "${address}" (${cause.code ?? cause.message}), allowed: a free address of this VM`,
          { notRun: true, cause },
        ),
      );
    server.once('error', refuse);
    server.listen(port, host, () => {
      server.removeListener('error', refuse);
      resolve();
    });
  });
}
