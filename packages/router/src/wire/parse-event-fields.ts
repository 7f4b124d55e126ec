import { isUtf8 } from 'node:buffer';
import type { EventField } from './event-field.js';

const lineEnd = /\r?\n/;
// eslint-disable-next-line no-control-regex -- finds control characters
const controlPattern = /[\0-\x08\x0b-\x1f\x7f]/;

/** Parses the lines of a block of an event stream; undefined when it is no text. */
export function parseEventFields(block: Buffer): EventField[] | undefined {
  if (!isUtf8(block)) return undefined;
  const lines = block
    .toString()
    .split(lineEnd)
    .filter((line) => line !== '');
  return lines.some((line) => controlPattern.test(line)) ? undefined : lines.map(parseField);
}

function parseField(line: string): EventField {
  const colonAt = line.indexOf(':');
  if (colonAt < 0) return { name: line, value: '' };
  const value = line.slice(colonAt + 1);
  return { name: line.slice(0, colonAt), value: value.startsWith(' ') ? value.slice(1) : value };
}
