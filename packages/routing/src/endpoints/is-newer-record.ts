import type { EndpointRecord } from './endpoint-record.js';

/** Whether a record replaces the known one of its id. An incarnation that is gone stays gone. */
export function isNewerRecord(next: EndpointRecord, known: EndpointRecord): boolean {
  if (next.bornAt !== known.bornAt) return next.bornAt > known.bornAt;
  if (known.state === 'gone') return false;
  if (next.state === 'gone') return true;
  return next.sequence > known.sequence;
}
