import { createHash, timingSafeEqual } from 'node:crypto';
import { toId, type AccountId, type FleetConfig } from '@vanillarelay/core';

interface KnownKey {
  account: AccountId;
  hash: Buffer;
}

/** Finds the account of a bearer key; the index is built once for each configuration. */
export function createAccountIndex() {
  let indexed: FleetConfig | undefined;
  let keys = new Map<string, KnownKey>();

  const find = (config: FleetConfig, authorization: string | undefined): AccountId | undefined => {
    const presented = /^Bearer (\S+)$/i.exec(authorization ?? '')?.[1];
    if (!presented) return undefined;
    if (config !== indexed) {
      keys = buildIndex(config);
      indexed = config;
    }
    const hash = createHash('sha256').update(presented).digest();
    // The lookup sees only a hash, from which a caller learns nothing about valid keys.
    const known = keys.get(hash.toString('hex'));
    return known && timingSafeEqual(known.hash, hash) ? known.account : undefined;
  };

  return { find };
}

function buildIndex({ accounts }: FleetConfig): Map<string, KnownKey> {
  const keys = new Map<string, KnownKey>();
  Object.entries(accounts).forEach(([account, { keyHashes }]) =>
    keyHashes.forEach((hash) =>
      keys.set(hash, { account: toId<AccountId>(account), hash: Buffer.from(hash, 'hex') }),
    ),
  );
  return keys;
}
