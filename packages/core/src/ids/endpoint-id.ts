import type { Id } from './id.js';

/** Names an endpoint and the agent beside it. */
export type EndpointId = Id<'EndpointId'>;
