import type { createEndpointTable } from './create-endpoint-table.js';

/** The table of announced endpoints. */
export type EndpointTable = ReturnType<typeof createEndpointTable>;
