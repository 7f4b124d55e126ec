import type { NotRunCause } from './not-run-cause.js';

/**
 * The outcome of one attempt to run a request at an endpoint. `isSpoilt` says that the endpoint sent
 * bytes that are no answer or no event, so it has not crashed.
 */
export type AttemptOutcome =
  /** The complete answer was sent to the caller. */
  | { type: 'answered'; status: number }
  /** It is certain that the request did not run at the endpoint. */
  | { type: 'notRun'; reason: string; cause: NotRunCause }
  /** The request may have run; no part of an answer was sent to the caller. */
  | { type: 'failed'; reason: string; isSilent: boolean; status?: number; isSpoilt?: boolean }
  /** The answer was interrupted after part of it was sent to the caller. */
  | { type: 'broken'; reason: string; isSilent?: boolean; isSpoilt?: boolean }
  /** The caller disconnected, or the deadline passed. */
  | { type: 'cancelled' };
