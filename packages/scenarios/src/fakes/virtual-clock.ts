import type { createVirtualClock } from './create-virtual-clock.js';

/** A clock that advances only when the test runs it. */
export type VirtualClock = ReturnType<typeof createVirtualClock>;
