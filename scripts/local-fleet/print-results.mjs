/** Prints the results as a table. */
export default function printResults(results) {
  const rows = [
    ['result', 'what', 'details'],
    ...results.map(({ name, passed, detail }) => [passed ? 'passed' : 'FAILED', name, detail]),
  ];
  const widths = [0, 1].map((column) => Math.max(...rows.map((row) => row[column].length)));
  rows.forEach(([result, name, detail]) =>
    console.log(`${result.padEnd(widths[0])}  ${name.padEnd(widths[1])}  ${detail}`),
  );
}
