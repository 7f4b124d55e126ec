import { RelayError, ResultCode } from '@vanillarelay/core';

/**
 * Checks the ages of roll-outs that another daemon sent; a daemon of an earlier version sends none.
 * Throws `malformedMessage`.
 */
export function checkRolloutAges(received: unknown): void {
  if (received === undefined || (Array.isArray(received) && received.every(isAge))) return;
  throw new RelayError(ResultCode.malformedMessage, 'rolloutAges: not a list of ages');
}

function isAge(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const { startIndex, ageMs, isEstimated = false } = value as Record<string, unknown>;
  return isCount(startIndex) && isCount(ageMs) && typeof isEstimated === 'boolean';
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
