import { createHash } from 'node:crypto';
import { toId, type Fingerprint } from '@vanillarelay/core';
import type { RoutedRequest } from './routed-request.js';

const fingerprintLength = 16;

/** Builds a hash of the content of a request, which is the same each time the caller sends it. */
export function buildFingerprint({ account, method, path, body }: RoutedRequest): Fingerprint {
  const hash = createHash('sha256');
  hash.update(`${account?.id ?? ''}\n${method} ${path}\n`).update(body);
  return toId<Fingerprint>(hash.digest('base64url').slice(0, fingerprintLength));
}
