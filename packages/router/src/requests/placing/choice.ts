import type { EndpointId, ResultCode } from '@vanillarelay/core';

/** The endpoint that was chosen for a request, or why none takes it. */
export type Choice = (
  { id: EndpointId; reason: string } | { code: ResultCode; reason: string; retryAfterMs?: number }
) & {
  /** Number of endpoints that were excluded or have a health issue, by reason. */
  passedOver: object;
};
