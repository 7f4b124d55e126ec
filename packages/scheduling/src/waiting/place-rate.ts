import type { createPlaceRate } from './create-place-rate.js';

/** How often a place becomes free. */
export type PlaceRate = ReturnType<typeof createPlaceRate>;
