interface Waiter {
  priority: number;
  wake: () => void;
}

interface BatchOptions {
  size: number;
  /** Called with the number of running and waiting requests at each change. */
  observe: (requests: number) => void;
}

/** Creates the batch: up to `size` requests run at once, and further ones wait by priority. */
export function createBatch({ size, observe }: BatchOptions) {
  const waiters: Waiter[] = [];
  let running = 0;

  const update = (change: number): void => {
    running += change;
    observe(running + waiters.length);
  };

  const wakeNext = (): void => {
    const next = waiters.shift();
    if (!next) return;
    update(1);
    next.wake();
  };

  const addWaiter = (waiter: Waiter): void => {
    const index = waiters.findIndex(({ priority }) => priority > waiter.priority);
    waiters.splice(index < 0 ? waiters.length : index, 0, waiter);
    observe(running + waiters.length);
  };

  const createSlotRelease = () => {
    let isReleased = false;
    return (): void => {
      if (isReleased) return;
      isReleased = true;
      update(-1);
      if (running < size) wakeNext();
    };
  };

  /** Resolves to a function that releases the slot, or to undefined if the signal aborts first. */
  const takeSlot = async (
    priority: number,
    signal: AbortSignal,
  ): Promise<(() => void) | undefined> => {
    if (signal.aborted) return undefined;
    if (running < size) {
      update(1);
      return createSlotRelease();
    }
    return new Promise((resolve) => {
      const abort = () => {
        waiters.splice(waiters.indexOf(waiter), 1);
        observe(running + waiters.length);
        resolve(undefined);
      };
      const waiter: Waiter = {
        priority,
        wake: () => {
          signal.removeEventListener('abort', abort);
          resolve(createSlotRelease());
        },
      };
      addWaiter(waiter);
      signal.addEventListener('abort', abort, { once: true });
    });
  };

  return { takeSlot, countRunning: () => running, countWaiting: () => waiters.length };
}
