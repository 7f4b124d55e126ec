import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

const pollIntervalMs = 10;

/**
 * Delays the end of a connection until all that was written to it is sent and, for `resetWaitMs`,
 * nothing of it was answered with a reset: the process at the other end may have ended. A reset then
 * fails the connection, so that an answer that ends with it is not taken as whole.
 */
export function settleEnd(socket: Socket, resetWaitMs: number): void {
  const emit = socket.emit as (event: string | symbol, ...args: unknown[]) => boolean;
  // Node closes the connection in a listener of its end, and lets nothing be written after it.
  socket.allowHalfOpen = true;
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== 'end') return emit.call(socket, event, ...args);
    socket.emit = emit;
    void waitForRest(socket, resetWaitMs).then(() => {
      socket.allowHalfOpen = false;
      if (!socket.destroyed) socket.emit('end');
    });
    return true;
  };
}

/** Resolves once all that was written is sent and no reset came, or the connection failed. */
async function waitForRest(socket: Socket, resetWaitMs: number): Promise<void> {
  let waitedMs = 0;
  await checkReset(socket);
  while (!socket.destroyed && (socket.writableLength > 0 || waitedMs < resetWaitMs)) {
    await wait(pollIntervalMs);
    waitedMs += pollIntervalMs;
    await checkReset(socket);
  }
}

/** Finds a reset that was not reported: it shows only in a write, and an empty one sends nothing. */
async function checkReset(socket: Socket): Promise<void> {
  if (socket.destroyed || socket.writableLength > 0) return;
  await new Promise<void>((resolve) => {
    socket.write('', () => resolve());
  });
}
