import type { Patch } from './patch.js';

/** Builds the text that a patch describes. */
export function applyPatch(base: string, { spans, text }: Patch): string {
  let position = 0;
  const stretches = spans.map(({ from, length }) => {
    if (from !== undefined) return base.slice(from, from + length);
    position += length;
    return text.slice(position - length, position);
  });
  return stretches.join('');
}
