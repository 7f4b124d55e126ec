/** The parsers of Node and undici miss the coding when a tab follows it, so it is refused as well. */
const chunkedPattern = /^[\t ]*chunked *$/i;

/**
 * Whether the value of Transfer-Encoding is the only coding that an answer may have: no request names
 * another in a TE header, and the parsers undo no other.
 */
export function isChunked(coding: string): boolean {
  return chunkedPattern.test(coding);
}
