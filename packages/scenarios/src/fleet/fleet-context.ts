import type { createAgent } from '@vanillarelay/agent';
import type { ControlClient, EndpointClient, Hash, Random } from '@vanillarelay/core';
import type { createEntry } from '@vanillarelay/entry';
import type { Link } from '@vanillarelay/link';
import type { ControlHandlers } from './control-handlers.js';
import type { Mechanism } from './mechanism.js';
import type { createFakeNetwork } from '../fakes/create-fake-network.js';
import type { RunningProcess } from '../fakes/running-process.js';
import type { VirtualClock } from '../fakes/virtual-clock.js';

/** What the processes of an in-process fleet share. */
export interface FleetContext {
  virtual: VirtualClock;
  network: ReturnType<typeof createFakeNetwork>;
  random: Random;
  hash: Hash;
  /** Mechanisms that this fleet runs without. */
  without: ReadonlySet<Mechanism>;
  /** Control nodes with a replicated store, by id. */
  nodes: Map<string, RunningProcess<ControlHandlers>>;
  /** Links of all daemons, by id. */
  links: Map<string, Link>;
  /** Graceful shutdown of each daemon, by id. */
  stops: Map<string, () => Promise<void>>;
  controls: Map<string, RunningProcess<ControlClient>>;
  agents: Map<string, RunningProcess<ReturnType<typeof createAgent>['handlers']>>;
  endpoints: Map<string, RunningProcess<EndpointClient>>;
  entries: Map<string, RunningProcess<ReturnType<typeof createEntry>>>;
}
