import type { createLoadView } from './create-load-view.js';

/** How many requests each endpoint holds. */
export type LoadView = ReturnType<typeof createLoadView>;
