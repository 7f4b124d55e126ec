import type { createWaitingQueue } from './create-waiting-queue.js';
import type { WaitingRequest } from './waiting-request.js';

/** The requests of a service that wait for a place. */
export type WaitingQueue<T extends WaitingRequest> = ReturnType<typeof createWaitingQueue<T>>;
