import { RelayError, ResultCode, type ControlClient } from '@vanillarelay/core';
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client';
import { WebSocket } from 'ws';
import type { ControlRouter } from './control-router.js';

/** Opens a client of a control node over one WebSocket, which reconnects by itself. */
export function openControl(address: string, key: string): ControlClient & { close(): void } {
  const socket = createWSClient({
    url: `ws://${address}`,
    WebSocket: WebSocket as unknown as typeof globalThis.WebSocket,
    connectionParams: { key },
  });
  const client = createTRPCClient<ControlRouter>({ links: [wsLink({ client: socket })] });
  return {
    exchange: (report, signal) => wrap(client.exchange.mutate(report, { signal })),
    propose: (command, signal) => wrap(client.propose.mutate(command, { signal })),
    close: () => {
      void socket.close();
    },
  };
}

async function wrap<T>(call: Promise<T>): Promise<T> {
  try {
    return await call;
  } catch (cause) {
    throw new RelayError(ResultCode.connectionFailed, (cause as Error).message, { cause });
  }
}
