import type { createRouteTable } from './create-route-table.js';

/** Lookup functions of one configuration. */
export type RouteTable = ReturnType<typeof createRouteTable>;
