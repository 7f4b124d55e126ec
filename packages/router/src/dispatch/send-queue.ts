import type { createSendQueue } from './create-send-queue.js';

/** The queue of requests before they are sent to endpoints. */
export type SendQueue = ReturnType<typeof createSendQueue>;
