import type { createControlGroup } from './create-control-group.js';

/** A control group on virtual time. */
export type ControlGroup = ReturnType<typeof createControlGroup>;
