import { createHash } from 'node:crypto';
import {
  hashSha256,
  toId,
  type AccountId,
  type ChatId,
  type Fingerprint,
} from '@vanillarelay/core';

interface Content {
  account: AccountId;
  method: string;
  path: string;
  body: Uint8Array;
  /** The chat id, if it is in the body. */
  chatInBody?: ChatId;
}

/**
 * Computes the body hash, which shows whether an idempotency key is reused for another request, and
 * the fingerprint, which does not depend on the chat id.
 */
export function hashContent({ account, method, path, body, chatInBody }: Content) {
  const bodyHash = createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
  const content = chatInBody
    ? Buffer.from(body).toString('utf8').replace(JSON.stringify(chatInBody), '""')
    : bodyHash;
  return { bodyHash, fingerprint: toId<Fingerprint>(hashSha256(`${account}\n${content}`)) };
}
