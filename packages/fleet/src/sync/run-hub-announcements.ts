import { withTimeout, type Clock, type EventDetails } from '@vanillarelay/core';
import type { DaemonInfo } from '../messages/daemon-info.js';
import type { FleetPeer } from '../messages/fleet-peer.js';

interface HubAnnouncementsOptions {
  clock: Clock;
  readSelf: () => DaemonInfo;
  listSeeds: () => string[];
  /** Lists the members of the control group; empty unless this daemon is one of them. */
  listHubs: () => string[];
  openPeer: (address: string) => FleetPeer;
  record: (name: string, details?: EventDetails) => void;
  signal: AbortSignal;
}

/** Time until the next announcement, which doubles: seeds may start shortly after a hub. */
const minIntervalMs = 250;
const maxIntervalMs = 2_000;
const helloTimeoutMs = 400;

/**
 * Announces the hubs to the seeds. Seeds need not be hubs; when all daemons restart at once, they
 * know none, and every daemon without a disk asks only them.
 */
export async function runHubAnnouncements(options: HubAnnouncementsOptions): Promise<void> {
  const { clock, readSelf, listSeeds, listHubs, openPeer, record, signal } = options;

  const announce = async (peer: string, hubs: string[]): Promise<void> => {
    const request = { from: readSelf(), mayFound: false, hubs };
    try {
      await withTimeout(clock, helloTimeoutMs, (timeout) => openPeer(peer).hello(request, timeout));
    } catch (error) {
      record('fleet.seedFailed', { peer, reason: (error as Error).message });
    }
  };

  let intervalMs = minIntervalMs;
  while (!signal.aborted) {
    const hubs = listHubs();
    const seeds = listSeeds().filter((seed) => !hubs.includes(seed));
    if (hubs.length > 0) await Promise.all(seeds.map((seed) => announce(seed, hubs)));
    await clock.wait(intervalMs, signal);
    intervalMs = Math.min(maxIntervalMs, intervalMs * 2);
  }
}
