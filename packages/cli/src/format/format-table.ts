type Cell = string | number | boolean | undefined;

/** Formats rows as aligned columns under their headings. */
export function formatTable(headings: readonly string[], rows: readonly Cell[][]): string {
  const texts = [[...headings], ...rows.map((row) => row.map((cell) => String(cell ?? '-')))];
  const widths = headings.map((_, column) =>
    Math.max(...texts.map((row) => (row[column] ?? '').length)),
  );
  return texts
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
