import type { createViewStore } from './create-view-store.js';

/** The store of a daemon's fleet view, as `createViewStore` returns it. */
export type ViewStore = ReturnType<typeof createViewStore>;
