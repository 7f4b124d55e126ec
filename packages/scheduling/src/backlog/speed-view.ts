import type { createSpeedView } from './create-speed-view.js';

/** How long work takes at endpoints, against the usual. */
export type SpeedView = ReturnType<typeof createSpeedView>;
