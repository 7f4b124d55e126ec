import type { IncomingMessage } from 'node:http';
import { resetLimits, settleEnd } from '@vanillarelay/daemon';

/**
 * Delays the end of an answer that has no length and ends with its connection, until the request was
 * written as a whole and nothing of it was answered with a reset: the endpoint may have ended in the
 * middle of it. A reset then fails the connection, and with it the answer.
 */
export function settleUnframedEnd({ headers, socket }: IncomingMessage, bodyBytes: number): void {
  const isFramed =
    headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
  if (isFramed || bodyBytes <= resetLimits.maxSmallBodyBytes) return;
  settleEnd(socket, resetLimits.waitMs);
}
