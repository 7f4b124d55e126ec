import type { Command } from '@vanillarelay/core';

/**
 * Whether a command that may have been accepted may be sent again. A crash report without an id
 * would count as a second crash; all other commands carry a change id, nonce or attempt id, or have
 * the same effect when repeated.
 */
export function isIdempotent(command: Command): boolean {
  return command.type !== 'reportCrash' || command.crashId !== undefined;
}
