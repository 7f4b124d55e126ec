import type { createContentStore } from './create-content-store.js';

/** A store of recent configurations, as `createContentStore` returns it. */
export type ContentStore = ReturnType<typeof createContentStore>;
