import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { createFramingCheck } from './create-framing-check.js';

/**
 * Checks the framing of the answer to a request before Node's parser reads it. At the first fault
 * the connection is closed with the error that `buildError` returns, and with it the answer, if its
 * head was received.
 */
export function observeFraming(
  outgoing: ClientRequest,
  buildError: (fault: string) => Error,
): void {
  const check = createFramingCheck(outgoing.method);
  let answer: IncomingMessage | undefined;
  let hasFailed = false;

  const fail = (fault: string): void => {
    if (hasFailed) return;
    hasFailed = true;
    const error = buildError(fault);
    answer?.destroy(error);
    outgoing.destroy(error);
  };

  outgoing.prependOnceListener('response', (message) => {
    answer = message;
    if (!check.hasHead()) fail('a head that ends within a line');
  });
  outgoing.prependOnceListener('socket', (socket: Socket) => {
    const checkBytes = (bytes: Buffer): void => {
      const fault = check.push(bytes);
      if (fault !== undefined) fail(fault);
    };
    /** Runs after the parser has read the same bytes. */
    const checkEnd = (): void => {
      if (check.isDone()) stop();
      else if (answer?.complete) fail('an end within a line');
    };
    const stop = (): void => {
      socket.removeListener('data', checkBytes);
      socket.removeListener('data', checkEnd);
    };
    // Node's parser has added its listener before.
    socket.prependListener('data', checkBytes);
    socket.on('data', checkEnd);
    outgoing.once('close', stop);
  });
}
