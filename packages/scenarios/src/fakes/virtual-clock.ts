import type { createVirtualClock } from './create-virtual-clock.js';

/** A clock that moves only when the test runs it. */
export type VirtualClock = ReturnType<typeof createVirtualClock>;
