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
  refilledAt: number;
}

interface AdmitInput {
  account: AccountId;
  config: FleetConfig;
  /** This entry's share of the limits of accounts near their limit; others have no share. */
  shares: Readonly<Record<AccountId, number>>;
}

const millisecondsPerSecond = 1_000;
/** For accounts without a share: the hub assigns shares above half of an account's limit. */
const defaultShare = 0.5;
const minShare = 0.01;
const minRequestsPerSecond = 1;

/** Creates the limiter, with a token bucket for each account; it also counts their requests. */
export function createAccountLimiter({ clock }: { clock: Clock }) {
  const buckets = new Map<AccountId, Bucket>();
  let usage = new Map<AccountId, number>();

  /** Takes a token or throws a refusal. Refused requests are demand, so they count as usage. */
  const admit = ({ account, config, shares }: AdmitInput): void => {
    usage.set(account, (usage.get(account) ?? 0) + 1);
    const limit = config.accounts[account]?.requestsPerSecond ?? 0;
    const share = Math.max(minShare, shares[account] ?? defaultShare);
    const rate = Math.max(minRequestsPerSecond, limit * share);
    const now = clock.monotonic();
    const bucket = buckets.get(account) ?? { tokens: rate, refilledAt: now };
    const refill = ((now - bucket.refilledAt) / millisecondsPerSecond) * rate;
    bucket.tokens = Math.min(rate, bucket.tokens + refill);
    bucket.refilledAt = now;
    buckets.set(account, bucket);
    if (bucket.tokens < 1) {
      throw new RelayError(ResultCode.accountLimit, `account '${account}' is over its limit`, {
        notRun: true,
        retryAfterMs: Math.ceil(((1 - bucket.tokens) / rate) * millisecondsPerSecond),
      });
    }
    bucket.tokens -= 1;
  };

  /** Returns the number of requests of each account since the last call. */
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
