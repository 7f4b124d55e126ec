import type { createEqualParts } from './create-equal-parts.js';

/** This router's equal parts in the places of endpoints. */
export type EqualParts = ReturnType<typeof createEqualParts>;
