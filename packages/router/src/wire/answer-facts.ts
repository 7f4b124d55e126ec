import type { EndpointLoad } from './endpoint-load.js';

/** Information from the status and headers of an endpoint's answer. */
export interface AnswerFacts {
  /** Id of the request that was answered. */
  requestId?: string;
  /** Whether it carries the endpoint's signature. */
  isSigned: boolean;
  /** Whether the endpoint states that the request did not run. */
  isNotRun: boolean;
  /** Whether the address now belongs to a different endpoint than the one requested. */
  isMisdirected: boolean;
  /** Whether the body was modified in transit. */
  isBodyModified: boolean;
  /** Requests per second that the endpoint accepts from all routers together, if it names a limit. */
  rateLimitPerS?: number;
  /** Whether the endpoint says that it is leaving and accepts no new requests. */
  isLeaving: boolean;
  /**
   * Time for which an endpoint that refused the request accepts no others from this router, in
   * milliseconds, or the text that names none.
   */
  wait?: number | { unreadable: string };
  /** What the endpoint says of its load. */
  load?: EndpointLoad;
}
