import type { createViewStore } from './create-view-store.js';

/** A daemon's view of the fleet. */
export type ViewStore = ReturnType<typeof createViewStore>;
