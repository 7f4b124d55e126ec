import type { Clock } from '@vanillarelay/core';

interface WarmUpOptions {
  clock: Clock;
  startsCold: boolean;
  warmUpMs: number;
  warmUpRequests: number;
}

/** Creates the warm-up state: cold until enough time has passed and enough requests completed. */
export function createWarmUp({ clock, startsCold, warmUpMs, warmUpRequests }: WarmUpOptions) {
  let isCold = startsCold;
  let coldSince = clock.monotonic();
  let completed = 0;

  const readIsCold = (): boolean => {
    if (completed >= warmUpRequests && clock.monotonic() - coldSince >= warmUpMs) isCold = false;
    return isCold;
  };

  return {
    isCold: readIsCold,
    countRequest: (): void => {
      completed += 1;
    },
    /** Makes the engine cold again. */
    reset: (): void => {
      isCold = true;
      coldSince = clock.monotonic();
      completed = 0;
    },
  };
}
