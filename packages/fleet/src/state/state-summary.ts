import type { SharedState } from './shared-state.js';

/** The shared state without the source of the configuration. */
export type StateSummary = Omit<SharedState, 'source'>;
