import { isDeepStrictEqual } from 'node:util';

/**
 * Builds the JSON merge patch (RFC 7396) that turns `from` into `to`; undefined if they are equal.
 * The values must not contain null, which the format reserves for removals.
 */
export function buildMergePatch(from: unknown, to: unknown): unknown {
  if (isDeepStrictEqual(from, to)) return undefined;
  if (!isPlainObject(from) || !isPlainObject(to)) return to;
  const patch: Record<string, unknown> = {};
  Object.keys(from).forEach((key) => {
    if (!Object.hasOwn(to, key)) patch[key] = null;
  });
  Object.entries(to).forEach(([key, value]) => {
    const change = Object.hasOwn(from, key) ? buildMergePatch(from[key], value) : value;
    if (change !== undefined) patch[key] = change;
  });
  return patch;
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
