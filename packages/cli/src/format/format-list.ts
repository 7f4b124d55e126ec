/** Items in one line, or a word for none. */
export function formatList(items: readonly string[]): string {
  return items.length > 0 ? items.join(', ') : 'none';
}
