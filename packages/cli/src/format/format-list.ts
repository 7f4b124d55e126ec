/** Joins items with commas, or returns `none` if there are none. */
export function formatList(items: readonly string[]): string {
  return items.length > 0 ? items.join(', ') : 'none';
}
