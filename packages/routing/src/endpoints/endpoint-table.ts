import type { createEndpointTable } from './create-endpoint-table.js';

/** Endpoints that announced themselves. */
export type EndpointTable = ReturnType<typeof createEndpointTable>;
