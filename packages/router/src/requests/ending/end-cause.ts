import type { ResultCode } from '@vanillarelay/core';

/** Why the work on a request is over. */
export type EndCause =
  /** The caller received the whole answer of an endpoint. */
  | { type: 'answered'; status: number }
  | { type: 'callerLeft' }
  /** It is not sent (again), because no endpoint may take it. */
  | { type: 'notSent'; code: ResultCode; reason: string; retryAfterMs?: number }
  /** Its last attempt failed, and no other one is allowed. */
  | { type: 'attemptFailed' }
  | { type: 'deadline' }
  /** This process stops. */
  | { type: 'stopping' };
