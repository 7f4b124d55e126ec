import type { Clock, EventDetails } from '@vanillarelay/core';
import type { EndpointTable } from '@vanillarelay/routing';
import { emptyContent } from '../content/empty-content.js';
import { buildObservations } from '../messages/build-observations.js';
import type { DaemonInfo } from '../messages/daemon-info.js';
import type { FleetPeer } from '../messages/fleet-peer.js';
import { createExchange } from './create-exchange.js';
import { createGrowingTime } from './create-growing-time.js';
import type { Hub } from './hub.js';
import type { RolloutAgeRecord } from './rollout-age-record.js';

interface HubLinkOptions {
  clock: Clock;
  readSelf: () => DaemonInfo;
  listHubs: () => string[];
  openPeer: (address: string) => FleetPeer;
  table: EndpointTable;
  hub: Hub;
  rolloutAges: RolloutAgeRecord;
  record: (name: string, details?: EventDetails) => void;
  signal: AbortSignal;
}

/** How long a hub may delay its reply while there are no changes. */
const pollWaitMs = 200;
const minPauseMs = 60;
const retryDelayMs = 300;
/** Interval at which this daemon looks for new hubs; short at first, until its disk is open. */
const minScanIntervalMs = 20;
const maxScanIntervalMs = 500;

/** Runs one task per other hub, which reads what that hub received from the daemons it serves. */
export async function runHubLinks(options: HubLinkOptions): Promise<void> {
  const { clock, readSelf, listHubs, signal } = options;
  const links = new Map<string, AbortController>();
  const scanInterval = createGrowingTime({ minMs: minScanIntervalMs, maxMs: maxScanIntervalMs });
  while (!signal.aborted) {
    const others = listHubs().filter((address) => address !== readSelf().address);
    links.forEach((controller, address) => {
      if (others.includes(address)) return;
      controller.abort();
      links.delete(address);
    });
    others
      .filter((address) => !links.has(address))
      .forEach((address) => {
        const controller = new AbortController();
        links.set(address, controller);
        void runLink(options, address, controller.signal);
      });
    await clock.wait(scanInterval.take(), signal);
  }
  links.forEach((controller) => controller.abort());
}

async function runLink(
  { clock, readSelf, openPeer, table, hub, rolloutAges, record }: HubLinkOptions,
  address: string,
  signal: AbortSignal,
): Promise<void> {
  const exchange = createExchange({ clock, readSelf, openPeer, table, record });
  let isLost = false;
  while (!signal.aborted) {
    try {
      const reply = await exchange(address, {
        isHub: true,
        // Hubs receive state only through the replicated log; this index makes the reply omit it.
        stateIndex: Number.MAX_SAFE_INTEGER,
        content: { heldHash: emptyContent.hash },
        observations: buildObservations(),
        heard: [],
        waitMs: pollWaitMs,
      });
      hub.daemons.updateRemote(address, reply.daemons, reply.observations);
      rolloutAges.receive(reply.rolloutAges);
      if (isLost) record('fleet.linkRegained', { hub: address });
      isLost = false;
      await clock.wait(minPauseMs, signal);
    } catch (error) {
      if (!isLost) record('fleet.linkLost', { hub: address, reason: (error as Error).message });
      isLost = true;
      await clock.wait(retryDelayMs, signal);
    }
  }
}
