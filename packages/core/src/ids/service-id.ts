import type { Id } from './id.js';

/** Identifies a service: a model with its replicas, or a plain service. */
export type ServiceId = Id<'ServiceId'>;
