import type { createPlaceLimits } from './create-place-limits.js';

/** What this router may have in flight at each endpoint of a full service. */
export type PlaceLimits = ReturnType<typeof createPlaceLimits>;
