import type { createHistograms } from './create-histograms.js';

/** A process's latency histograms. */
export type Histograms = ReturnType<typeof createHistograms>;
