import type { MemoryPart } from './memory-part.js';

interface Waiter {
  bytes: number;
  settle: (isTaken: boolean) => void;
}

/** Creates a part of a memory budget. */
export function createMemoryPart(limitBytes: number): MemoryPart {
  const waiters = new Set<Waiter>();
  let heldBytes = 0;
  let awaitedBytes = 0;

  const hasRoom = (bytes: number): boolean => heldBytes + bytes <= limitBytes;

  const grantWaiters = (): void => {
    for (const waiter of waiters) {
      if (!hasRoom(waiter.bytes)) return;
      heldBytes += waiter.bytes;
      waiter.settle(true);
    }
  };

  return {
    take: (bytes) => {
      if (waiters.size > 0 || !hasRoom(bytes)) return false;
      heldBytes += bytes;
      return true;
    },
    waitToTake: (bytes, signal) => {
      // Those that wait already may take all there is.
      if (signal.aborted || awaitedBytes + bytes > limitBytes) return Promise.resolve(false);
      return new Promise((resolve) => {
        const abort = (): void => waiter.settle(false);
        const waiter: Waiter = {
          bytes,
          settle: (isTaken) => {
            waiters.delete(waiter);
            awaitedBytes -= bytes;
            signal.removeEventListener('abort', abort);
            resolve(isTaken);
            if (!isTaken) grantWaiters();
          },
        };
        waiters.add(waiter);
        awaitedBytes += bytes;
        signal.addEventListener('abort', abort, { once: true });
      });
    },
    release: (bytes) => {
      heldBytes -= bytes;
      grantWaiters();
    },
    readHeldBytes: () => heldBytes,
  };
}
