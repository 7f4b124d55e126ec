import type { createServiceQueue } from './create-service-queue.js';

/** The requests of one service that wait at this router. */
export type ServiceQueue = ReturnType<typeof createServiceQueue>;
