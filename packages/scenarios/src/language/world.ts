import type { FakeEngine } from '@vanillarelay/stand-ins';
import type { createFakeDisk } from '../fakes/create-fake-disk.js';
import type { FleetContext } from '../fleet/fleet-context.js';
import type { Call } from './call.js';
import type { ProcessSpec } from './process-spec.js';
import type { RunEvent } from './run-event.js';

/** State of one scenario run: the simulated fleet and the recorded events. */
export interface World {
  context: FleetContext;
  /** By daemon id. */
  processSpecs: Map<string, ProcessSpec>;
  /** Disks of the control nodes, by node id. */
  disks: Map<string, ReturnType<typeof createFakeDisk>>;
  /** Engines of the agents that serve `reports`, by agent id. */
  engines: Map<string, FakeEngine>;
  calls: Call[];
  /** One event for each request that started at an endpoint. */
  runs: RunEvent[];
  /** Messages of failed checks and failed steps; injected faults are not listed. */
  faults: string[];
  /** Background sends and graceful shutdowns that have not ended. */
  pending: Set<Promise<unknown>>;
  /**
   * Last accepted change: the state version that it produced, and the time of the reply. Both are 0
   * before the first change.
   */
  accepted: {
    version: number;
    /** Monotonic time in milliseconds. */
    at: number;
  };
  /**
   * Monotonic time in milliseconds of the reply to a take-out or drain, or of the start of a
   * graceful shutdown, by id of the data centre, endpoint or daemon.
   */
  closedAt: Map<string, number>;
  /** Number of changes sent so far; the id of change N is `change-N`. */
  changes: number;
  /** Configuration version in the reply to the last accepted change. */
  configVersion: number;
}
