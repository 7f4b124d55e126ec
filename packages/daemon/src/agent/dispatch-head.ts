import type { DispatchRequest } from '@vanillarelay/core';

/** The part of a dispatch that travels as a header; the body is the HTTP body. */
export type DispatchHead = Omit<DispatchRequest, 'body'>;
