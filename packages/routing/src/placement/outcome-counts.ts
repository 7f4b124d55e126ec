import type { EndpointId } from '@vanillarelay/core';

/** Requests that went well and badly at each endpoint lately; older ones weigh less. */
export type OutcomeCounts = Record<EndpointId, [good: number, bad: number]>;
