import type { Patch } from './patch.js';
import type { PatchSpan } from './patch-span.js';
import { splitText } from './split-text.js';

/** Builds the patch that turns one text into another; its size follows what differs. */
export function buildPatch(base: string, target: string): Patch {
  const positions = findPositions(base);
  const spans: PatchSpan[] = [];
  const texts: string[] = [];
  splitText(target).forEach((piece) => {
    const last = spans.at(-1);
    const next = last?.from === undefined ? undefined : last.from + last.length;
    const isContinued = next !== undefined && base.startsWith(piece, next);
    const from = isContinued ? next : positions.get(piece);
    const isJoined = isContinued || (from === undefined && last && last.from === undefined);
    if (from === undefined) texts.push(piece);
    if (last && isJoined) last.length += piece.length;
    else spans.push({ length: piece.length, ...(from === undefined ? {} : { from }) });
  });
  return { spans, text: texts.join('') };
}

function findPositions(text: string): Map<string, number> {
  const positions = new Map<string, number>();
  let position = 0;
  splitText(text).forEach((piece) => {
    positions.set(piece, position);
    position += piece.length;
  });
  return positions;
}
