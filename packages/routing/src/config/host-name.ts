import type { Id } from '@vanillarelay/core';

/** The host of a route or a request, in the form in which hosts are compared. */
export type HostName = Id<'HostName'>;
