import { createHash } from 'node:crypto';
import { hashBody, toId, type AccountId, type ChatId, type Fingerprint } from '@vanillarelay/core';

interface Content {
  account: AccountId;
  method: string;
  path: string;
  body: Uint8Array;
  /** The chat id, if it is in the body. */
  chatInBody?: ChatId;
}

/**
 * Computes the body hash, which tells apart requests with the same idempotency key, and the
 * fingerprint, which leaves the chat id out.
 */
export function hashContent({ account, method, path, body, chatInBody }: Content) {
  const bodyHash = createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
  const content = chatInBody
    ? Buffer.from(body).toString('utf8').replace(JSON.stringify(chatInBody), '""')
    : bodyHash;
  return { bodyHash, fingerprint: toId<Fingerprint>(hashBody(`${account}\n${content}`)) };
}
