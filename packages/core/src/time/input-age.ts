import type { createInputAge } from './create-input-age.js';

/** The bound of how long input waited until it was read, as `createInputAge` returns it. */
export type InputAge = ReturnType<typeof createInputAge>;
