import type { BenchFleetOptions } from './bench-fleet-options.js';

/** Options of the measurement in which one data centre leaves and returns. */
export interface DataCentreOptions extends BenchFleetOptions {
  dataCentres: NonNullable<BenchFleetOptions['dataCentres']>;
  /** Whether operators take the data centre out, or it fails without notice. */
  departure: 'planned' | 'unplanned';
  /** Virtual duration of each phase: before the departure, away and back, in milliseconds. */
  phaseMs: number;
  /** Virtual time of traffic before the measurement, in milliseconds. */
  warmUpMs: number;
}
