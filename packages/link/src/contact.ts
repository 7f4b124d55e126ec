/** A daemon's contact with the control nodes; section 6.3 of the design. */
export type { Contact } from '@vanillarelay/core';
