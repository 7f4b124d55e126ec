import { RelayError, ResultCode } from '@vanillarelay/core';

/**
 * Checks the ages of roll-outs that another daemon sent; a daemon of an earlier version sends none.
 * Throws `malformedMessage`.
 */
export function checkRolloutAges(received: unknown): void {
  if (received === undefined || (isObject(received) && Object.values(received).every(isAge))) {
    return;
  }
  throw new RelayError(ResultCode.malformedMessage, 'rolloutAges: not ages by service');
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isAge(value: unknown): boolean {
  if (!isObject(value)) return false;
  const { startIndex, ageMs, isEstimated = false } = value;
  return isCount(startIndex) && isCount(ageMs) && typeof isEstimated === 'boolean';
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
