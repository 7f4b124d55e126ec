import type { createRouteTable } from './create-route-table.js';

/** Finds the routes, accounts and services of a configuration. */
export type RouteTable = ReturnType<typeof createRouteTable>;
