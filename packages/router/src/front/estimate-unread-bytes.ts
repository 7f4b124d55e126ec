import type { IncomingMessage } from 'node:http';

/** Body bytes that Node reads ahead at most while nobody reads the body. */
const maxReadAheadBytes = 64 * 1024;

/** Estimates the memory that a request occupies while its body is not read. */
export function estimateUnreadBytes({ url = '', rawHeaders, headers }: IncomingMessage): number {
  const headLength = rawHeaders.reduce((sum, text) => sum + text.length, url.length);
  const isChunked = headers['transfer-encoding'] !== undefined;
  const bodyLength = isChunked ? maxReadAheadBytes : Number(headers['content-length'] ?? 0);
  return headLength + Math.min(maxReadAheadBytes, bodyLength);
}
