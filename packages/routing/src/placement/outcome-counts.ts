import type { EndpointId } from '@vanillarelay/core';

/** Numbers of recent successful and failed requests at each endpoint; older requests weigh less. */
export type OutcomeCounts = Record<EndpointId, [good: number, bad: number]>;
