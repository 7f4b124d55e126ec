import type { EndpointId, RecordView } from '@vanillarelay/core';
import type { FleetState } from './fleet-state.js';
import type { RequestRecord } from './request-record.js';

/** View of a record for a refused claim; undefined when the request neither runs nor ran. */
export function buildRecordView(
  { incarnations }: FleetState,
  record: RequestRecord,
): RecordView | undefined {
  const { status, bodyHash = '', endpoint, incarnation, answer } = record;
  if (status === 'open') return undefined;
  const lastIncarnation = incarnations.get(endpoint as EndpointId) ?? 0;
  const isOutcomeUnknown = status === 'running' && (incarnation ?? 0) < lastIncarnation;
  return {
    status: isOutcomeUnknown ? 'unknown' : status,
    bodyHash,
    ...(endpoint === undefined ? {} : { endpoint }),
    ...(incarnation === undefined ? {} : { incarnation }),
    ...(answer ? { answer } : {}),
  };
}
