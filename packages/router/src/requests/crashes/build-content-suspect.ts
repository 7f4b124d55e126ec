import { createHash } from 'node:crypto';
import { toId, type SuspectId } from '@vanillarelay/core';
import type { RoutedRequest } from '../routed-request.js';

const hashLength = 16;

/** Builds a hash of the content of a request, which is the same each time the caller sends it. */
export function buildContentSuspect({ account, method, path, body }: RoutedRequest): SuspectId {
  const hash = createHash('sha256');
  hash.update(`${account?.id ?? ''}\n${method} ${path}\n`).update(body);
  return toId<SuspectId>(hash.digest('base64url').slice(0, hashLength));
}
