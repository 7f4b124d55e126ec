import type { EndpointId } from '@vanillarelay/core';

/** Tokens of their own that requests in flight hold at each endpoint, at one or more routers. */
export type HeldTokens = Record<EndpointId, number>;
