import type { createProcessContext } from './create-process-context.js';

/** What every process needs: clock, chance, log, time line and histograms. */
export type ProcessContext = Awaited<ReturnType<typeof createProcessContext>>;
