import type { FakeEngine } from '@vanillarelay/stand-ins';
import type { createFakeDisk } from '../fakes/create-fake-disk.js';
import type { FleetContext } from '../fleet/fleet-context.js';
import type { Call } from './call.js';
import type { DaemonPlace } from './daemon-place.js';
import type { RunEvent } from './run-event.js';

/** A fleet under a scenario, with everything that callers, operators and endpoints saw. */
export interface World {
  context: FleetContext;
  places: Map<string, DaemonPlace>;
  disks: Map<string, ReturnType<typeof createFakeDisk>>;
  engines: Map<string, FakeEngine>;
  calls: Call[];
  runs: RunEvent[];
  /** Faults that the checks found, in words. */
  faults: string[];
  /** Calls and graceful shutdowns that have not ended. */
  pending: Set<Promise<unknown>>;
  /** State version of the last accepted change, and when its answer came. */
  accepted: { version: number; at: number };
  /** When a data centre was accepted as taken out, or an endpoint as draining. */
  closedAt: Map<string, number>;
  /** Changes sent so far, for fresh change ids. */
  changes: number;
  configVersion: number;
}
