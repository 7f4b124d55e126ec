import type { EndpointId, ResultCode } from '@vanillarelay/core';
import type { Expectation } from './expectation.js';

/** The endpoint that was chosen for a request, or why none takes it. */
export type Choice = (
  | { id: EndpointId; reason: string; expectation?: Expectation }
  | { code: ResultCode; reason: string; retryAfterMs?: number }
) & {
  /** Number of endpoints that were excluded or have a health issue, by reason. */
  passedOver: object;
};
