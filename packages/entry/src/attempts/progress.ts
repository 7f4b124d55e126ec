import type { createProgress } from './create-progress.js';

/** What the attempts of one request have found so far. */
export type Progress = ReturnType<typeof createProgress>;
