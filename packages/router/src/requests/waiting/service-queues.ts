import type { createServiceQueues } from './create-service-queues.js';

/** The requests that wait at this router, by service. */
export type ServiceQueues = ReturnType<typeof createServiceQueues>;
