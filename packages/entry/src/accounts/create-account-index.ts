import { createHash, timingSafeEqual } from 'node:crypto';
import { toId, type AccountId, type FleetConfig } from '@vanillarelay/core';

interface KnownKey {
  account: AccountId;
  hash: Buffer;
}

/** Creates the lookup of accounts by bearer key; it is rebuilt when the configuration changes. */
export function createAccountIndex() {
  let indexedConfig: FleetConfig | undefined;
  let keys = new Map<string, KnownKey>();

  const find = (config: FleetConfig, authorization: string | undefined): AccountId | undefined => {
    const bearerKey = /^Bearer (\S+)$/i.exec(authorization ?? '')?.[1];
    if (!bearerKey) return undefined;
    if (config !== indexedConfig) {
      keys = buildIndex(config);
      indexedConfig = config;
    }
    const hash = createHash('sha256').update(bearerKey).digest();
    // The lookup uses only a hash, so that its timing reveals nothing about valid keys.
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
