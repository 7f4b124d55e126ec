import type { Server } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';
import { splitAddress } from './split-address.js';

/** Resolves when the server listens on the address. */
export function listenOn(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const fail = (cause: Error) =>
      reject(
        new RelayError(ResultCode.addressInUse, `cannot listen on ${address}: ${cause.message}`, {
          notRun: true,
          cause,
        }),
      );
    server.once('error', fail);
    server.listen({ host, port, backlog: acceptBacklog }, () => {
      server.removeListener('error', fail);
      resolve();
    });
  });
}

/** Connections that wait to be accepted while the event loop is busy. */
const acceptBacklog = 1_024;
