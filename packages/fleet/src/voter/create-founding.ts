import type { Clock } from '@vanillarelay/core';
import type { Founder } from '../messages/founder.js';
import type { HelloRequest } from '../messages/hello-request.js';
import { selectFounders } from './select-founders.js';

interface FoundingOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Whether this daemon is the one that decides, at the first start of the whole fleet. */
  isCoordinator: boolean;
}

/** All machines start within a fraction of a second; slow ones take some seconds to their first message. */
const collectMs = 3_000;

/**
 * Makes the decision who founds the control group. One daemon, the first of the seeds, collects the
 * nodes with an empty disk for a while and decides once; every founder must vote for the first leader.
 */
export function createFounding({ clock, isCoordinator }: FoundingOptions) {
  const startedAt = clock.monotonic();
  const seen = new Map<string, HelloRequest['from']>();
  let founders: Founder[] | undefined;
  return {
    receive: ({ from, mayFound }: HelloRequest): void => {
      if (isCoordinator && mayFound && !founders) seen.set(from.id, from);
    },
    readFounders: (): Founder[] | undefined => {
      if (!isCoordinator || founders || seen.size === 0) return founders;
      if (clock.monotonic() - startedAt < collectMs) return undefined;
      founders = selectFounders([...seen.values()]);
      return founders;
    },
  };
}
