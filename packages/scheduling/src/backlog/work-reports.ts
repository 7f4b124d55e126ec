import type { EndpointId } from '@vanillarelay/core';

/**
 * Reading that each endpoint still has to do, as one or more routers count it, in milliseconds of an
 * endpoint of usual speed. Endpoints without any are left out.
 */
export type WorkReports = Record<EndpointId, number>;
