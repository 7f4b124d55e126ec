import type { Id } from '@vanillarelay/core';

/** SHA-256 of a configuration's source, in hexadecimal. */
export type ContentHash = Id<'ContentHash'>;
