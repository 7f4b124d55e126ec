import { CallFailure } from '../../dispatch/call-failure.js';

/** Whether an answer ended with bytes of its endpoint that are no HTTP. */
export function isSpoiltError(error: unknown): boolean {
  return error instanceof CallFailure && error.kind === 'spoilt';
}
