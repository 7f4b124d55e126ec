/** One difference between two JSON values; a side without the path is absent. */
interface Difference {
  path: string;
  from?: unknown;
  to?: unknown;
}

/** Lists the differences between two JSON values, by path. Arrays are compared as a whole. */
export function listDifferences(from: unknown, to: unknown, path = ''): Difference[] {
  if (isRecord(from) && isRecord(to)) {
    const keys = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort();
    return keys.flatMap((key) =>
      listDifferences(from[key], to[key], path === '' ? key : `${path}.${key}`),
    );
  }
  if (JSON.stringify(from) === JSON.stringify(to)) return [];
  return [
    {
      path,
      ...(from === undefined ? {} : { from }),
      ...(to === undefined ? {} : { to }),
    },
  ];
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
