import type { Dispatcher } from 'undici';

const firstStatus = 200;
const lastStatus = 599;
const chunkedCoding = 'chunked';

/** Why an answer cannot be relayed, as far as its head tells; undefined when it can. */
export function findHeadFault({
  statusCode,
  headers,
}: Dispatcher.ResponseData): string | undefined {
  if (statusCode < firstStatus || statusCode > lastStatus) return `status ${statusCode}`;
  const coding = headers['transfer-encoding'];
  // No request names another coding in a TE header, and the parser undoes no other.
  const isChunked = typeof coding === 'string' && coding.trim().toLowerCase() === chunkedCoding;
  return coding === undefined || isChunked ? undefined : 'a transfer coding other than chunked';
}
