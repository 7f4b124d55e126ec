import type { createCacheView } from './create-cache-view.js';

/** Which prompt parts endpoints have probably read. */
export type CacheView = ReturnType<typeof createCacheView>;
