import type { createWorkPlacement } from './create-work-placement.js';

/** Placement by expected cost, with what it learns. */
export type WorkPlacement = ReturnType<typeof createWorkPlacement>;
