import type { FieldLine } from './field-line.js';

/**
 * A token, a colon and a value of visible characters, blanks and tabs (RFC 9110, section 5). No
 * white space stands before the colon, and none before the name: that would continue the line above
 * (RFC 9112, sections 5.1 and 5.2).
 */
const fieldLinePattern = /^([\w!#$%&'*+\-.^`|~]+):([\t\x20-\x7e\x80-\xff]*)$/;

/** Parses a line of a head or trailer without its line end; undefined when it is no field. */
export function parseFieldLine(line: string): FieldLine | undefined {
  const [, name, value] = fieldLinePattern.exec(line) ?? [];
  if (name === undefined || value === undefined) return undefined;
  return { name: name.toLowerCase(), value };
}
