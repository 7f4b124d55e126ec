import type { createLoadView } from './create-load-view.js';

/** Number of requests in flight at each endpoint. */
export type LoadView = ReturnType<typeof createLoadView>;
