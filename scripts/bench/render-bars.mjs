const rowHeight = 22;
const labelWidth = 300;
const barWidth = 400;

/** Renders a bar chart as SVG text. */
export default function renderBars(title, bars) {
  const highest = Math.max(...bars.map(({ value }) => value), Number.MIN_VALUE);
  const rows = bars.map(({ label, value }, index) => {
    const y = (index + 2) * rowHeight;
    const width = Math.round((value / highest) * barWidth);
    return [
      `<text x="${labelWidth - 8}" y="${y + 15}" text-anchor="end">${label}</text>`,
      `<rect x="${labelWidth}" y="${y + 3}" width="${width}" height="${rowHeight - 6}" fill="#4a7ebb"/>`,
      `<text x="${labelWidth + width + 6}" y="${y + 15}">${Number(value.toPrecision(3))}</text>`,
    ].join('');
  });
  const size = { width: labelWidth + barWidth + 80, height: (bars.length + 3) * rowHeight };
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${size.width}" height="${size.height}" font-family="sans-serif" font-size="12"><text x="8" y="20" font-size="14">${title}</text>${rows.join('')}</svg>\n`;
}
