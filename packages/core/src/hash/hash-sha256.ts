import { createHash } from 'node:crypto';

/** Computes the SHA-256 of a body as hexadecimal text. */
export function hashSha256(body: Uint8Array | string): string {
  return createHash('sha256').update(body).digest('hex');
}
