import type { Dispatcher } from 'undici';
import { isChunked } from './is-chunked.js';

const firstStatus = 200;
const lastStatus = 599;

/** Why an answer cannot be relayed, as far as its head tells; undefined when it can. */
export function findHeadFault({
  statusCode,
  headers,
}: Dispatcher.ResponseData): string | undefined {
  if (statusCode < firstStatus || statusCode > lastStatus) return `status ${statusCode}`;
  const coding = headers['transfer-encoding'];
  if (coding === undefined) return undefined;
  const isProper = typeof coding === 'string' && isChunked(coding);
  return isProper ? undefined : 'a transfer coding other than chunked';
}
