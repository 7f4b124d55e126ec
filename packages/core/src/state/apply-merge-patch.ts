/** Applies a JSON merge patch (RFC 7396) without modifying the target. */
export function applyMergePatch(target: unknown, patch: unknown): unknown {
  if (!isPlainObject(patch)) return patch;
  const result: Record<string, unknown> = isPlainObject(target) ? { ...target } : {};
  Object.entries(patch).forEach(([key, value]) => {
    // An own property named `__proto__` must not become the prototype of the result.
    if (key === '__proto__') return;
    if (value === null) delete result[key];
    else result[key] = applyMergePatch(result[key], value);
  });
  return result;
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
