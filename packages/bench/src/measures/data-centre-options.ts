import type { BenchFleetOptions } from './bench-fleet-options.js';

/** Options of one measurement of service while a data centre leaves and returns. */
export interface DataCentreOptions extends BenchFleetOptions {
  dataCentres: NonNullable<BenchFleetOptions['dataCentres']>;
  /** Whether operators take the data centre out, or it fails without notice. */
  departure: 'planned' | 'unplanned';
  /** Virtual time before the departure, while it is away, and after its return, in milliseconds. */
  phaseMs: number;
  warmUpMs: number;
}
