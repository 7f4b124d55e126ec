import {
  RelayError,
  ResultCode,
  toId,
  type AccountId,
  type Clock,
  type FleetConfig,
} from '@vanillarelay/core';

interface Bucket {
  tokens: number;
  filledAt: number;
}

interface AdmitInput {
  account: AccountId;
  config: FleetConfig;
  /** This entry's share of each account's limit; only accounts near their limit have one. */
  shares: Readonly<Record<AccountId, number>>;
}

const millisecondsPerSecond = 1_000;
/** The hub lists an account as soon as its use is above half of its limit. */
const unlistedShare = 0.5;
const lowestShare = 0.01;
const lowestRate = 1;

/** Limits the requests of each account by a token bucket, and counts them for the report. */
export function createAccountLimiter({ clock }: { clock: Clock }) {
  const buckets = new Map<AccountId, Bucket>();
  let usage = new Map<AccountId, number>();

  /** Takes a token or throws a refusal; refused requests count as use, because they are demand. */
  const admit = ({ account, config, shares }: AdmitInput): void => {
    usage.set(account, (usage.get(account) ?? 0) + 1);
    const limit = config.accounts[account]?.requestsPerSecond ?? 0;
    const share = Math.max(lowestShare, shares[account] ?? unlistedShare);
    const rate = Math.max(lowestRate, limit * share);
    const now = clock.monotonic();
    const bucket = buckets.get(account) ?? { tokens: rate, filledAt: now };
    const gained = ((now - bucket.filledAt) / millisecondsPerSecond) * rate;
    bucket.tokens = Math.min(rate, bucket.tokens + gained);
    bucket.filledAt = now;
    buckets.set(account, bucket);
    if (bucket.tokens < 1) {
      throw new RelayError(ResultCode.accountLimit, `account '${account}' is over its limit`, {
        notRun: true,
        retryAfterMs: Math.ceil(((1 - bucket.tokens) / rate) * millisecondsPerSecond),
      });
    }
    bucket.tokens -= 1;
  };

  /** Requests by account since the last call. */
  const takeUsage = (): Record<AccountId, number> => {
    const taken: Record<AccountId, number> = {};
    usage.forEach((count, account) => {
      taken[toId<AccountId>(account)] = count;
    });
    usage = new Map();
    return taken;
  };

  return { admit, takeUsage };
}
