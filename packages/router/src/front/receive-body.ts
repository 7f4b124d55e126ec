import type { IncomingMessage } from 'node:http';
import { RelayError, ResultCode, type Clock } from '@vanillarelay/core';
import { readBody } from '@vanillarelay/daemon';
import { createMemoryLease } from '../memory/create-memory-lease.js';
import type { MemoryBudget } from '../memory/memory-budget.js';

interface BodyOptions {
  clock: Clock;
  memory: MemoryBudget;
  message: IncomingMessage;
  limitBytes: number;
  /** Time for which the body may wait unread until there is memory for it. */
  waitMs: number;
  /** Time by which the whole body must have been received. */
  timeoutMs: number;
  /** Aborted when the caller has disconnected. */
  signal: AbortSignal;
}

/** A request body with the memory that it holds. */
interface HeldBody {
  bytes: Uint8Array;
  release: () => void;
}

const maxSmallBodyBytes = 64 * 1024;
/** Retry time for callers while there is no memory for their bodies; other daemons may have some. */
const retryAfterMs = 200;

/** Reads the body of a request within the budget; while there is no memory for it, it waits unread. */
export async function receiveBody(options: BodyOptions): Promise<HeldBody> {
  const { clock, memory, message, limitBytes, waitMs, timeoutMs, signal } = options;
  const leases = {
    small: createMemoryLease(memory.smallBodies),
    large: createMemoryLease(memory.largeBodies),
  };
  const release = (): void => Object.values(leases).forEach((lease) => lease.release());
  let reservedBytes = 0;

  const waitToTake = async (lease: typeof leases.large, bytes: number): Promise<boolean> => {
    const limit = new AbortController();
    const abort = (): void => limit.abort();
    const cancelTimer = clock.startTimer(waitMs, abort);
    signal.addEventListener('abort', abort, { once: true });
    const isTaken = await lease.waitToTake(bytes, limit.signal);
    cancelTimer();
    signal.removeEventListener('abort', abort);
    return isTaken;
  };
  const takeMemory = (bytes: number): boolean | Promise<boolean> => {
    reservedBytes += bytes;
    const lease = reservedBytes <= maxSmallBodyBytes ? leases.small : leases.large;
    return lease.take(bytes) || waitToTake(lease, bytes);
  };

  const received = new Promise<Uint8Array>((resolve, reject) => {
    const cancelTimer = clock.startTimer(timeoutMs, () => {
      const reason = 'the body was not received before the deadline';
      reject(new RelayError(ResultCode.slowCaller, reason, { notRun: true }));
    });
    readBody(message, limitBytes, takeMemory).then(resolve, reject).finally(cancelTimer);
  });
  try {
    return { bytes: await received, release };
  } catch (error) {
    release();
    const { code, message: reason } = error as RelayError;
    if (code !== ResultCode.queueFull) throw error;
    throw new RelayError(code, reason, { notRun: true, retryAfterMs });
  }
}
