import type { EndpointId } from '@vanillarelay/core';

/**
 * Work that was sent to each endpoint and has not begun there, as one or more routers count it, in
 * milliseconds of an endpoint of usual speed. Endpoints without any are left out.
 */
export type WorkReports = Record<EndpointId, number>;
