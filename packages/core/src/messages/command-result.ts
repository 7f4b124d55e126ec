import type { ResultCode } from '../errors/result-code.js';

/** The result of a command. */
export type CommandResult =
  | { ok: true; index: number; value?: unknown }
  | { ok: false; code: ResultCode; message: string; details?: Record<string, unknown> };
