import type { Id } from './id.js';

/** Identifies an endpoint and its agent. */
export type EndpointId = Id<'EndpointId'>;
