import type { Id } from './id.js';

/** Names a service: a model with its replicas, or a plain service. */
export type ServiceId = Id<'ServiceId'>;
