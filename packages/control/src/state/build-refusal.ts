import type { CommandResult, ResultCode } from '@vanillarelay/core';

/** The result of a refused command. */
export function buildRefusal(
  code: ResultCode,
  message: string,
  details?: Record<string, unknown>,
): CommandResult {
  return { ok: false, code, message, ...(details ? { details } : {}) };
}
