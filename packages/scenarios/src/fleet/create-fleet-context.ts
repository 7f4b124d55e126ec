import { createHash } from '@vanillarelay/core';
import { createFakeNetwork } from '../fakes/create-fake-network.js';
import { createSeededRandom } from '../fakes/create-seeded-random.js';
import { createVirtualClock } from '../fakes/create-virtual-clock.js';
import type { Mechanism } from './mechanism.js';
import type { FleetContext } from './fleet-context.js';

interface FleetContextOptions {
  seed: number;
  /** One-way delay between VMs, in milliseconds. */
  delayMs?: number;
  without?: ReadonlySet<Mechanism>;
}

/** Creates an empty in-process fleet on a virtual clock. */
export async function createFleetContext({
  seed,
  delayMs = 1,
  without = new Set(),
}: FleetContextOptions): Promise<FleetContext> {
  const virtual = createVirtualClock();
  const random = createSeededRandom(seed);
  return {
    virtual,
    random,
    network: createFakeNetwork({ virtual, random, delayMs }),
    hash: await createHash(),
    without,
    replicatedControls: new Map(),
    links: new Map(),
    shutdowns: new Map(),
    controls: new Map(),
    agents: new Map(),
    endpoints: new Map(),
    entries: new Map(),
  };
}
