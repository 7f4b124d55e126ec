import type { createProcessContext } from './create-process-context.js';

/** What every process needs: clock, random source, logger, timeline and histograms. */
export type ProcessContext = Awaited<ReturnType<typeof createProcessContext>>;
