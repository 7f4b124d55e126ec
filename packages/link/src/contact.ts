/** How a daemon stands to control; section 6.3 of the design. */
export type { Contact } from '@vanillarelay/core';
