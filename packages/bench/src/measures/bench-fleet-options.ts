import type { DataCentreId } from '@vanillarelay/core';
import type { FakeEngine } from '@vanillarelay/stand-ins';
import type { Policy } from '../policies/policy.js';

/** Options of the fleet that a measurement runs on. */
export interface BenchFleetOptions {
  policy: Policy;
  /** Number of engines. */
  engines: number;
  /** Number of entries. */
  entries: number;
  /** Bound on an engine's load as a multiple of the mean. */
  multiple: number;
  seed: number;
  /** Data centres, to which entries and engines are assigned round robin. */
  dataCentres?: readonly DataCentreId[];
  /** One-way delay between VMs, in milliseconds. */
  delayMs?: number;
  /** Called before a request starts at an engine. */
  observeStart?: (engine: FakeEngine) => void;
  /** Whether engines start cold: slower, and with a limit on concurrent requests. */
  startsCold?: boolean;
}
