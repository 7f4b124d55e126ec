import { withTimeout, type Clock, type EventDetails, type Random } from '@vanillarelay/core';
import type { DaemonInfo } from '../messages/daemon-info.js';
import type { FleetPeer } from '../messages/fleet-peer.js';
import { createGrowingTime } from './create-growing-time.js';

interface HubAnnouncementsOptions {
  clock: Clock;
  random: Random;
  readSelf: () => DaemonInfo;
  listSeeds: () => string[];
  /** Lists the members of the control group; empty unless this daemon is one of them. */
  listHubs: () => string[];
  openPeer: (address: string) => FleetPeer;
  record: (name: string, details?: EventDetails) => void;
  signal: AbortSignal;
}

/** Time until the next announcement to a seed, which doubles: the seed may restart. */
const minIntervalMs = 250;
const maxIntervalMs = 2_000;
/** Time until an announcement that failed is repeated, or this daemon looks for its group again. */
const minRetryDelayMs = 20;
const maxRetryDelayMs = 200;
/** Short at first: a VM without power does not even refuse a connection. */
const minTimeoutMs = 100;
const maxTimeoutMs = 400;
const scanIntervalMs = 2_000;

/**
 * Announces the hubs to the seeds. Seeds need not be hubs; when all daemons restart at once, they
 * know none, and every daemon without a disk asks only them.
 */
export async function runHubAnnouncements(options: HubAnnouncementsOptions): Promise<void> {
  const { clock, listSeeds, signal } = options;
  const announced = new Set<string>();
  while (!signal.aborted) {
    listSeeds()
      .filter((seed) => !announced.has(seed))
      .forEach(async (seed) => {
        announced.add(seed);
        await runAnnouncements(options, seed);
        announced.delete(seed);
      });
    await clock.wait(scanIntervalMs, signal);
  }
}

/** Announces the hubs to one seed while it is one. */
async function runAnnouncements(options: HubAnnouncementsOptions, seed: string): Promise<void> {
  const { clock, random, readSelf, listSeeds, listHubs, openPeer, record, signal } = options;
  const interval = createGrowingTime({ minMs: minIntervalMs, maxMs: maxIntervalMs });
  const delay = createGrowingTime({ minMs: minRetryDelayMs, maxMs: maxRetryDelayMs, random });
  const timeout = createGrowingTime({ minMs: minTimeoutMs, maxMs: maxTimeoutMs });
  let isLost = false;

  /** Returns whether the seed has received the announcement. */
  const announce = async (hubs: string[]): Promise<boolean> => {
    const request = { from: readSelf(), mayFound: false, hubs };
    try {
      await withTimeout(clock, timeout.take(), (ended) => openPeer(seed).hello(request, ended));
      timeout.reset();
      isLost = false;
      return true;
    } catch (error) {
      if (!isLost) record('fleet.seedFailed', { peer: seed, reason: (error as Error).message });
      isLost = true;
      return false;
    }
  };

  while (!signal.aborted && listSeeds().includes(seed)) {
    const hubs = listHubs();
    const isNeeded = hubs.length > 0 && !hubs.includes(seed);
    if (isNeeded && (await announce(hubs))) {
      delay.reset();
      await clock.wait(interval.take(), signal);
    } else await clock.wait(delay.take(), signal);
  }
}
