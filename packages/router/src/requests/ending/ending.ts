import type { ResultCode } from '@vanillarelay/core';

/** How a request ends. */
export type Ending =
  | { type: 'answered'; status: number }
  | { type: 'callerLeft' }
  /** The request has not run and never will; the caller is told when to come back. */
  | { type: 'refuse'; code: ResultCode; message: string; retryAfterMs?: number }
  /** The request may have run. */
  | { type: 'fail'; code: ResultCode; message: string };
