import type { createTimeline } from './create-timeline.js';

/** A process's ring buffer of events. */
export type Timeline = ReturnType<typeof createTimeline>;
