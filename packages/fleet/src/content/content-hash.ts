import type { Id } from '@vanillarelay/core';

/** The first 128 bits of the SHA-256 of a configuration's source, in hexadecimal. */
export type ContentHash = Id<'ContentHash'>;
