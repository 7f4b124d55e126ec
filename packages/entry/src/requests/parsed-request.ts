import type { DispatchRequest } from '@vanillarelay/core';

/** A caller's request with all that stays the same over its attempts. */
export interface ParsedRequest extends Omit<
  DispatchRequest,
  'attemptId' | 'remainingMs' | 'takeOver' | 'at' | 'stateVersion'
> {
  deadlineMs: number;
  isCompletion: boolean;
}
