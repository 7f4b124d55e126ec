import type { createHlc } from './create-hlc.js';

/** A hybrid logical clock. */
export type Hlc = ReturnType<typeof createHlc>;
