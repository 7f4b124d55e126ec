import type { Clock, Random } from '@vanillarelay/core';
import type { CacheEvent } from './cache-event.js';

interface CacheEventsOptions {
  clock: Clock;
  random: Random;
  /** Time from an event to its publication, in milliseconds. */
  delayMs: number;
  /** Fraction of events that are lost, from 0 to 1. */
  loss: number;
}

/** Number of events that are kept; further ones replace the oldest. */
const maxEvents = 10_000;

/** Creates the log of cache events, published with a delay and with some events lost. */
export function createCacheEvents({ clock, random, delayMs, loss }: CacheEventsOptions) {
  const events: { readableAt: number; event: CacheEvent }[] = [];
  let sequence = 0;

  const record = (type: CacheEvent['type'], chat: string, tokens: number): void => {
    sequence += 1;
    if (random() < loss) return;
    events.push({
      readableAt: clock.monotonic() + delayMs,
      event: { sequence, type, chat, tokens },
    });
    if (events.length > maxEvents) events.shift();
  };

  /** Lists the published events after a sequence number, oldest first. */
  const list = (after: number): CacheEvent[] => {
    const now = clock.monotonic();
    return events
      .filter(({ readableAt, event }) => readableAt <= now && event.sequence > after)
      .map(({ event }) => event);
  };

  return { record, list };
}
