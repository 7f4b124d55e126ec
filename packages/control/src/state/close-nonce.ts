import type { RequestRecord } from './request-record.js';

/** Refused nonces that a record remembers; a caller's resends contend for one key only briefly. */
const keptNonces = 32;

/** The record with a nonce whose claims are refused from now on. */
export function closeNonce(record: RequestRecord, nonce: string): RequestRecord {
  const { closedNonces = [] } = record;
  if (closedNonces.includes(nonce)) return record;
  return { ...record, closedNonces: [...closedNonces, nonce].slice(-keptNonces) };
}
