import type { FakeEngine } from '@vanillarelay/stand-ins';
import type { createFakeDisk } from '../fakes/create-fake-disk.js';
import type { FleetContext } from '../fleet/fleet-context.js';
import type { Call } from './call.js';
import type { ProcessSpec } from './process-spec.js';
import type { RunEvent } from './run-event.js';

/** State of one scenario run: the fleet, and what callers, operators and endpoints recorded. */
export interface World {
  context: FleetContext;
  processSpecs: Map<string, ProcessSpec>;
  disks: Map<string, ReturnType<typeof createFakeDisk>>;
  engines: Map<string, FakeEngine>;
  calls: Call[];
  runs: RunEvent[];
  /** Descriptions of the violations that the checks found. */
  faults: string[];
  /** Calls and graceful shutdowns that have not ended. */
  pending: Set<Promise<unknown>>;
  /** State version of the last accepted change, and the time of its answer. */
  accepted: { version: number; at: number };
  /** When a data centre was taken out, an endpoint drained or a daemon stopped, by id. */
  closedAt: Map<string, number>;
  /** Number of changes sent so far; change ids are numbered with it. */
  changes: number;
  configVersion: number;
}
