import type { Clock, Random } from '@vanillarelay/core';
import { createGrowingTime } from './create-growing-time.js';

interface HubSearchOptions {
  clock: Clock;
  random: Random;
  /** Lists the daemons that may know the hubs. */
  listPeers: () => readonly string[];
  /** Asks one of them within a time; does not reject. */
  ask: (peer: string, timeoutMs: number) => Promise<void>;
}

const minRetryDelayMs = 20;
const maxRetryDelayMs = 80;
/** Short at first: a VM without power does not even refuse a connection. */
const minTimeoutMs = 150;
const maxTimeoutMs = 600;

/**
 * Creates the search for the hubs. It asks each peer on its own, with one question at a time, so that
 * a peer without an answer delays no other.
 */
export function createHubSearch({ clock, random, listPeers, ask }: HubSearchOptions) {
  let search = new AbortController();
  const asked = new Set<string>();

  const run = async (peer: string, { signal }: AbortController): Promise<void> => {
    const delay = createGrowingTime({ minMs: minRetryDelayMs, maxMs: maxRetryDelayMs, random });
    const timeout = createGrowingTime({ minMs: minTimeoutMs, maxMs: maxTimeoutMs });
    asked.add(peer);
    while (!signal.aborted && listPeers().includes(peer)) {
      await ask(peer, timeout.take());
      await clock.wait(delay.take(), signal);
    }
    asked.delete(peer);
  };

  return {
    /** Asks the peers that are not asked yet, until the search is stopped. */
    start: (): void => {
      listPeers()
        .filter((peer) => !asked.has(peer))
        .forEach((peer) => {
          void run(peer, search);
        });
    },
    stop: (): void => {
      search.abort();
      search = new AbortController();
    },
  };
}
