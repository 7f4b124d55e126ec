import type { EndpointId, RecordView } from '@vanillarelay/core';
import type { FleetState } from './fleet-state.js';
import type { RequestRecord } from './request-record.js';

/** What a refused claim is told of the record; undefined when nothing runs and nothing ran. */
export function buildRecordView(
  { incarnations }: FleetState,
  record: RequestRecord,
): RecordView | undefined {
  const { status, bodyHash = '', endpoint, incarnation, answer } = record;
  if (status === 'open') return undefined;
  const lastIncarnation = incarnations.get(endpoint as EndpointId) ?? 0;
  const isLost = status === 'running' && (incarnation ?? 0) < lastIncarnation;
  return {
    status: isLost ? 'unknown' : status,
    bodyHash,
    ...(endpoint === undefined ? {} : { endpoint }),
    ...(incarnation === undefined ? {} : { incarnation }),
    ...(answer ? { answer } : {}),
  };
}
