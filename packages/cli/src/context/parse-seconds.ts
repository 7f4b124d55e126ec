import { RelayError, ResultCode } from '@vanillarelay/core';

/** Parses the value of a flag as a positive number of seconds. */
export function parseSeconds(flag: string, text: string): number {
  const seconds = Number(text);
  if (text.trim() !== '' && Number.isFinite(seconds) && seconds > 0) return seconds;
  throw new RelayError(
    ResultCode.malformedRequest,
    `--${flag}: got "${text}", allowed: a positive number of seconds`,
    { notRun: true },
  );
}
