import type { EndpointRecord } from './endpoint-record.js';

/**
 * Announcements of one incarnation that may be missed in a row. A sequence that is further ahead
 * comes from another writer, and would make the endpoint's own announcements look outdated.
 */
const maxSequenceStep = 1_000_000;

/**
 * Whether a record replaces the known one of its id. An incarnation that is gone stays gone, unless
 * only its address was given to another endpoint.
 */
export function isNewerRecord(next: EndpointRecord, known: EndpointRecord): boolean {
  if (next.bornAt !== known.bornAt) return next.bornAt > known.bornAt;
  const step = next.sequence - known.sequence;
  const isLater = step > 0 && step <= maxSequenceStep;
  if (known.state === 'gone') {
    return Boolean(known.isAddressContested) && next.state !== 'gone' && isLater;
  }
  return next.state === 'gone' || isLater;
}
