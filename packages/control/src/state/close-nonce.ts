import type { RequestRecord } from './request-record.js';

/** Limit of closed nonces in a record; resends of a request compete for its key only briefly. */
const maxClosedNonces = 32;

/** Adds a nonce to a record, so that its claims are refused from now on. */
export function closeNonce(record: RequestRecord, nonce: string): RequestRecord {
  const { closedNonces = [] } = record;
  if (closedNonces.includes(nonce)) return record;
  return { ...record, closedNonces: [...closedNonces, nonce].slice(-maxClosedNonces) };
}
