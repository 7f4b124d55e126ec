/**
 * Data in one message with entries, in characters. The limit bounds how long a message occupies a
 * link, so that heartbeats and calls keep their time limits; on a link that is too slow for the
 * largest messages they become smaller.
 */
export const batchLength = { min: 1024, max: 16 * 1024 } as const;
