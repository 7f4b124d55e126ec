import type { createRouteTable } from './create-route-table.js';

/** Look-ups of one configuration. */
export type RouteTable = ReturnType<typeof createRouteTable>;
