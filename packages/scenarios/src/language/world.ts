import type { FakeEngine } from '@vanillarelay/stand-ins';
import type { createFakeDisk } from '../fakes/create-fake-disk.js';
import type { FleetContext } from '../fleet/fleet-context.js';
import type { Call } from './call.js';
import type { ProcessSpec } from './process-spec.js';
import type { RunEvent } from './run-event.js';

/** State of one scenario run: the simulated fleet and the recorded events. */
export interface World {
  context: FleetContext;
  processSpecs: Map<string, ProcessSpec>;
  disks: Map<string, ReturnType<typeof createFakeDisk>>;
  engines: Map<string, FakeEngine>;
  calls: Call[];
  /** Starts of requests at endpoints. */
  runs: RunEvent[];
  /** Messages of failed checks and failed steps. */
  faults: string[];
  /** Calls and graceful shutdowns that have not ended. */
  pending: Set<Promise<unknown>>;
  /** Last accepted change: the state version that it produced, and the time of the reply. */
  accepted: {
    version: number;
    /** Monotonic time in milliseconds. */
    at: number;
  };
  /**
   * Monotonic time in milliseconds at which a data centre was taken out, an endpoint drained or a
   * daemon stopped, by id.
   */
  closedAt: Map<string, number>;
  /** Number of changes sent so far; change ids end with it. */
  changes: number;
  /** Configuration version in the reply to the last accepted change. */
  configVersion: number;
}
