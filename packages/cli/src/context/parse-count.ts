import { RelayError, ResultCode } from '@vanillarelay/core';

/** Parses the value of a flag as a whole number from 0. */
export function parseCount(flag: string, text: string): number {
  const count = Number(text);
  if (text.trim() !== '' && Number.isInteger(count) && count >= 0) return count;
  throw new RelayError(
    ResultCode.malformedRequest,
    `--${flag}: got "${text}", allowed: a whole number from 0`,
    { notRun: true },
  );
}
