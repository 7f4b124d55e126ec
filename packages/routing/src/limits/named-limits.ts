import type { createNamedLimits } from './create-named-limits.js';

/** Request rates that endpoints name in their answers. */
export type NamedLimits = ReturnType<typeof createNamedLimits>;
