import type { Refusal } from './refusal.js';
import type { ResultCode } from './result-code.js';

type RelayErrorOptions = Partial<Omit<Refusal, 'code' | 'message'>> & { cause?: unknown };

/** An error with a numbered result code. */
export class RelayError extends Error {
  readonly code: ResultCode;

  readonly notRun: boolean;

  readonly retryAfterMs: number | undefined;

  readonly holder: Refusal['holder'];

  readonly leader: Refusal['leader'];

  constructor(code: ResultCode, message: string, options: RelayErrorOptions = {}) {
    super(message, options.cause === undefined ? undefined : { cause: options.cause });
    this.name = 'RelayError';
    this.code = code;
    this.notRun = options.notRun ?? false;
    this.retryAfterMs = options.retryAfterMs;
    this.holder = options.holder;
    this.leader = options.leader;
  }
}
