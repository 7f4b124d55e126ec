import type { createControlGroup } from './create-control-group.js';

/** A control group on a virtual clock. */
export type ControlGroup = ReturnType<typeof createControlGroup>;
