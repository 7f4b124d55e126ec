/** White space around a value is blanks and tabs alone (RFC 9110, section 5.6.3). */
const chunkedPattern = /^[\t ]*chunked[\t ]*$/i;

/**
 * Whether the value of Transfer-Encoding is the only coding that an answer may have: no request names
 * another in a TE header, and the parsers undo no other.
 */
export function isChunked(coding: string): boolean {
  return chunkedPattern.test(coding);
}
