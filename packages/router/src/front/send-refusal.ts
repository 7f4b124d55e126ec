import type { Refusal } from '@vanillarelay/core';
import type { Caller } from '../requests/caller.js';
import { toStatus } from './to-status.js';

const msPerS = 1_000;

/** Sends a refusal to the caller; returns its HTTP status. */
export function sendRefusal(caller: Caller, refusal: Refusal): number {
  const status = toStatus(refusal);
  const body = Buffer.from(JSON.stringify(refusal));
  const { retryAfterMs, notRun } = refusal;
  caller.sendHead(status, [
    ...['Content-Type', 'application/json', 'Content-Length', String(body.length)],
    ...(notRun && retryAfterMs !== undefined ? ['Retry-After', String(retryAfterMs / msPerS)] : []),
  ]);
  caller.finish(body);
  return status;
}
