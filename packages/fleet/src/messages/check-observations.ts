import { RelayError, ResultCode } from '@vanillarelay/core';
import type { Observations } from './observations.js';

type Check = (value: unknown) => boolean;

/**
 * Checks observations that another daemon sent; a daemon of an older version leaves out some of
 * them. Throws `malformedMessage`, since a value of another type would spoil every sum it is part of.
 */
export function checkObservations(received: unknown): Partial<Observations> {
  if (!isObject(received)) throw createError('observations');
  Object.entries(checks).forEach(([name, check]) => {
    const part = received[name];
    if (part !== undefined && !check(part)) throw createError(name);
  });
  return received;
}

/** Numbers that state the answers of one side, and of the old side with its weights. */
const sideLength = 4;
const matchedLength = 3;

const checks: Record<keyof Observations, Check> = {
  lateRouters: isCount,
  loads: hasOnly(isCount),
  outcomes: hasOnly(isPairOfCounts),
  crashes: hasOnly(
    hasOnly(
      (value) =>
        isObject(value) &&
        isCount(value.ageMs) &&
        isOptionalCount(value.events) &&
        isOptionalCount(value.clearedAgeMs),
    ),
  ),
  rates: hasOnly(
    (value) =>
      isObject(value) &&
      isOptionalCount(value.limitPerS) &&
      isCount(value.ageMs) &&
      isCount(value.demandPerS),
  ),
  notices: hasOnly(
    (value) =>
      isObject(value) &&
      isCount(value.bornAt) &&
      typeof value.isLeaving === 'boolean' &&
      isCount(value.waitMs),
  ),
  versions: hasOnly(
    hasOnly(
      (value) =>
        isObject(value) &&
        isCounts(value.old, sideLength) &&
        isCounts(value.new, sideLength) &&
        isCounts(value.matched, matchedLength) &&
        hasOnly((counts) => isCounts(counts, sideLength))(value.endpoints),
    ),
  ),
  work: hasOnly(isCount),
  demand: hasOnly(hasOnly(isPairOfCounts)),
  heldTokens: hasOnly(isCount),
};

function isCounts(value: unknown, length: number): boolean {
  return Array.isArray(value) && value.length === length && value.every(isCount);
}

/** Checks an object by its values; its keys must not be properties of every object. */
function hasOnly(check: Check): Check {
  return (value) =>
    isObject(value) &&
    Object.entries(value).every(([key, item]) => !(key in Object.prototype) && check(item));
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isCount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isPairOfCounts(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && value.every(isCount);
}

function isOptionalCount(value: unknown): boolean {
  return value === undefined || isCount(value);
}

function createError(name: string): RelayError {
  return new RelayError(ResultCode.malformedMessage, `${name}: a value is not valid`);
}
