import type { EndpointId } from '@vanillarelay/core';

/** Recent successful and failed requests at each endpoint; older ones weigh less. */
export type OutcomeCounts = Record<EndpointId, [good: number, bad: number]>;
