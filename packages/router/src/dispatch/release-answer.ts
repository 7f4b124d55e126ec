import type { IncomingMessage } from 'node:http';
import type { Clock } from '@vanillarelay/core';

/** Limits of a body that is read only to keep its connection. */
const maxDiscardedBytes = 64 * 1024;
const discardTimeoutMs = 1_000;

/** Reads the rest of an unused answer to keep its connection, or closes it if there is much left. */
export function releaseAnswer(answer: IncomingMessage, clock: Pick<Clock, 'startTimer'>): void {
  let discardedBytes = 0;
  const cancelTimer = clock.startTimer(discardTimeoutMs, () => answer.destroy());
  answer.once('close', cancelTimer);
  // The answer is unused, so an interruption has no effect.
  answer.on('error', () => {});
  answer.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > maxDiscardedBytes) answer.destroy();
  });
}
