import { createHash } from 'node:crypto';
import { toId, type Fingerprint } from '@vanillarelay/core';
import type { RoutedRequest } from './routed-request.js';

const length = 16;

/** Names what a request asks for, the same for each time that the caller sends it. */
export function buildFingerprint({ account, method, path, body }: RoutedRequest): Fingerprint {
  const hash = createHash('sha256');
  hash.update(`${account?.id ?? ''}\n${method} ${path}\n`).update(body);
  return toId<Fingerprint>(hash.digest('base64url').slice(0, length));
}
