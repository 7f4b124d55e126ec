import type { EndpointRecord } from '@vanillarelay/routing';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { StreamFault } from './stream-fault.js';
import type { StreamProgress } from './stream-progress.js';

/** Bytes of a block that the log quotes. */
const maxExcerptBytes = 80;

/** Logs which bytes of which endpoint are not the next event of a stream. */
export function logSpoiltStream(
  { record }: Pick<RouterContext, 'record'>,
  { facts }: Pick<RoutedRequest, 'facts'>,
  { id }: Pick<EndpointRecord, 'id'>,
  { lastEventId, events }: StreamProgress,
  { reason, bytes }: StreamFault,
): void {
  record('stream.spoilt', {
    ...{ request: facts.id, endpoint: id, reason, lastEventId, events },
    bytes: bytes.length,
    excerpt: bytes.toString('latin1', 0, maxExcerptBytes),
  });
}
