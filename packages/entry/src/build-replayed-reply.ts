import type { RecordView, RequestId } from '@vanillarelay/core';
import type { CallerReply } from './caller-reply.js';

/** Builds the reply from the stored answer of an earlier request with the same idempotency key. */
export function buildReplayedReply(
  { status, contentType, body }: NonNullable<RecordView['answer']>,
  requestId: RequestId,
): CallerReply {
  async function* writeBody() {
    yield Buffer.from(body, 'base64');
  }
  const headers = {
    'content-type': contentType,
    'x-request-id': requestId,
    'idempotent-replayed': 'true',
  };
  return { status, headers, body: writeBody() };
}
