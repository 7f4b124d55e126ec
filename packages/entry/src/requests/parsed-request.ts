import type { DispatchRequest } from '@vanillarelay/core';

/** A caller's request with all values that its attempts have in common. */
export interface ParsedRequest extends Omit<
  DispatchRequest,
  'attemptId' | 'remainingMs' | 'takeOver' | 'at' | 'stateVersion'
> {
  deadlineMs: number;
  isCompletion: boolean;
}
