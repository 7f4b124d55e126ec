import type { createContentReceiver } from './create-content-receiver.js';

/** A receiver of a content, as `createContentReceiver` returns it. */
export type ContentReceiver = ReturnType<typeof createContentReceiver>;
