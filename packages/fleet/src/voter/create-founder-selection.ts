import type { Clock } from '@vanillarelay/core';
import type { Founder } from '../messages/founder.js';
import type { HelloRequest } from '../messages/hello-request.js';
import { selectFounders } from './select-founders.js';

interface FounderSelectionOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Whether this daemon selects the founders, at the first start of the whole fleet. */
  isCoordinator: boolean;
}

/**
 * How long the coordinator collects candidates. All machines start within a fraction of a second,
 * but slow ones need some seconds until their first message.
 */
const collectMs = 3_000;

/**
 * Creates the selection of the control group's initial members. One daemon, the first of the seeds,
 * collects the daemons with an empty disk for a while and then selects the founders once. Every
 * founder must vote for the first leader.
 */
export function createFounderSelection({ clock, isCoordinator }: FounderSelectionOptions) {
  const startedAt = clock.monotonic();
  const candidates = new Map<string, HelloRequest['from']>();
  let founders: Founder[] | undefined;
  return {
    receive: ({ from, mayFound }: HelloRequest): void => {
      if (isCoordinator && mayFound && !founders) candidates.set(from.id, from);
    },
    readFounders: (): Founder[] | undefined => {
      if (!isCoordinator || founders || candidates.size === 0) return founders;
      if (clock.monotonic() - startedAt < collectMs) return undefined;
      founders = selectFounders([...candidates.values()]);
      return founders;
    },
  };
}
