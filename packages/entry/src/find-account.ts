import { createHash, timingSafeEqual } from 'node:crypto';
import { toId, type AccountId, type FleetConfig } from '@vanillarelay/core';

/** The account of a bearer key; every key is compared, in constant time. */
export function findAccount(
  config: FleetConfig,
  authorization: string | undefined,
): AccountId | undefined {
  const key = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1];
  if (!key) return undefined;
  const hash = createHash('sha256').update(key).digest();
  let found: AccountId | undefined;
  Object.entries(config.accounts).forEach(([account, { keyHashes }]) => {
    keyHashes.forEach((known) => {
      const knownHash = Buffer.from(known, 'hex');
      if (knownHash.length === hash.length && timingSafeEqual(knownHash, hash)) {
        found = toId<AccountId>(account);
      }
    });
  });
  return found;
}
