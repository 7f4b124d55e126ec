import type { DataCentreId } from '@vanillarelay/core';
import type { FakeEngine } from '@vanillarelay/stand-ins';
import type { Policy } from '../policies/policy.js';

/** Options of the fleet that a measurement runs on. */
export interface BenchFleetOptions {
  policy: Policy;
  engines: number;
  entries: number;
  /** Bound on an engine's load as a multiple of the mean. */
  multiple: number;
  seed: number;
  /** Entries and engines are assigned to them round robin. */
  dataCentres?: readonly DataCentreId[];
  /** One-way delay between VMs, in milliseconds. */
  delayMs?: number;
  /** Called before a request starts at an engine. */
  observeStart?: (engine: FakeEngine) => void;
  /** Whether engines start cold. */
  startsCold?: boolean;
}
