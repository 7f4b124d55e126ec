import type { z } from 'zod';

interface Occurrence {
  value: string;
  path: (string | number)[];
}

/** Adds an issue with the message `allowed` for each item whose value an earlier item has. */
export function addDuplicateIssues<T>(
  context: Pick<z.RefinementCtx, 'addIssue'>,
  allowed: string,
  items: readonly T[],
  readOccurrence: (item: T, index: number) => Occurrence,
): void {
  const seen = new Set<string>();
  items.forEach((item, index) => {
    const { value, path } = readOccurrence(item, index);
    if (seen.has(value)) context.addIssue({ code: 'custom', path, message: allowed });
    seen.add(value);
  });
}
