import type { createAgent } from '@vanillarelay/agent';
import type { ControlClient, EndpointClient, Hash, Random } from '@vanillarelay/core';
import type { createEntry } from '@vanillarelay/entry';
import type { Link } from '@vanillarelay/link';
import type { ControlHandlers } from './control-handlers.js';
import type { Mechanism } from './mechanism.js';
import type { createFakeNetwork } from '../fakes/create-fake-network.js';
import type { RunningProcess } from '../fakes/running-process.js';
import type { VirtualClock } from '../fakes/virtual-clock.js';

/** State that the processes of an in-process fleet share. */
export interface FleetContext {
  virtual: VirtualClock;
  network: ReturnType<typeof createFakeNetwork>;
  random: Random;
  hash: Hash;
  /** Mechanisms that are disabled in this fleet, such as `drain`. */
  without: ReadonlySet<Mechanism>;
  /** Control nodes that replicate their state with Raft, by id. */
  replicatedControls: Map<string, RunningProcess<ControlHandlers>>;
  /** Links of the agents and entries, by id. */
  links: Map<string, Link>;
  /** Functions that shut an agent or entry down gracefully, by id. */
  shutdowns: Map<string, () => Promise<void>>;
  /** All control nodes, those without Raft included, with the handlers for their clients, by id. */
  controls: Map<string, RunningProcess<ControlClient>>;
  agents: Map<string, RunningProcess<ReturnType<typeof createAgent>['handlers']>>;
  endpoints: Map<string, RunningProcess<EndpointClient>>;
  entries: Map<string, RunningProcess<ReturnType<typeof createEntry>>>;
}
