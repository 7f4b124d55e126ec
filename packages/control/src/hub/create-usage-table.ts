import type { AccountId, DaemonId, FleetConfig } from '@vanillarelay/core';

type Rates = Record<AccountId, number>;

interface UsageTableOptions {
  /** Id of this hub. */
  id: DaemonId;
  /** The hub that received an entry's last report. */
  findOrigin: (entry: DaemonId) => DaemonId | undefined;
}

/** Time constant of the smoothed rates: they follow two thirds of a surge within this time. */
const smoothingMs = 2_000;
/** Interval that an entry's first report is taken to cover. */
const firstIntervalMs = 1_000;
/** Entries and hubs that are silent for longer no longer count. */
const silenceLimitMs = 5_000;
/** Accounts that use less than this fraction of their limit need no shares. */
const nearLimitRatio = 0.5;
/** Rates below this count as zero. */
const negligibleRequestsPerSecond = 0.05;
/** The list of accounts near their limit is recomputed at most this often. */
const nearLimitIntervalMs = 100;
/** Shares are rounded to thousandths. */
const shareSteps = 1_000;

/** Creates the hub's table of requests per second by account, over all entries. */
export function createUsageTable({ id, findOrigin }: UsageTableOptions) {
  /** Sums over `entries`, updated with each report, because there are many entries and accounts. */
  const totals: Rates = {};
  let accountsNearLimit: { account: AccountId; total: number }[] = [];
  let nearLimitListedAt = Number.NEGATIVE_INFINITY;
  const entries = new Map<DaemonId, { rates: Rates; seenAt: number }>();
  const hubs = new Map<DaemonId, { rates: Rates; seenAt: number }>();

  const receive = (entry: DaemonId, usage: Rates, now: number): void => {
    const last = entries.get(entry);
    const intervalMs = Math.max(1, last ? now - last.seenAt : firstIntervalMs);
    const decay = Math.exp(-intervalMs / smoothingMs);
    const rates: Rates = {};
    Object.entries(last?.rates ?? {}).forEach(([account, rate]) => {
      if (rate * decay > negligibleRequestsPerSecond) rates[account as AccountId] = rate * decay;
    });
    Object.entries(usage).forEach(([key, count]) => {
      const account = key as AccountId;
      const rate = (count / intervalMs) * 1_000;
      rates[account] = (rates[account] ?? 0) + rate * (1 - decay);
    });
    addRates(totals, last?.rates ?? {}, -1);
    addRates(totals, rates);
    entries.set(entry, { rates, seenAt: now });
  };

  const receiveTotals = (hub: DaemonId, rates: Rates, seenAt: number): void => {
    if (hub === id || seenAt < (hubs.get(hub)?.seenAt ?? Number.NEGATIVE_INFINITY)) return;
    hubs.set(hub, { rates, seenAt });
  };

  const removeSilent = (now: number): void => {
    entries.forEach(({ rates, seenAt }, entry) => {
      if (now - seenAt <= silenceLimitMs && findOrigin(entry) === id) return;
      entries.delete(entry);
      addRates(totals, rates, -1);
    });
    hubs.forEach(({ seenAt }, hub) => {
      if (now - seenAt > silenceLimitMs) hubs.delete(hub);
    });
  };

  /** Requests per second by account, over the entries that report to this hub. */
  const buildTotals = (): Rates => {
    const rounded: Rates = {};
    Object.entries(totals).forEach(([key, rate]) => {
      const account = key as AccountId;
      if (rate > negligibleRequestsPerSecond) rounded[account] = Math.round(rate * 100) / 100;
      // Floating-point subtraction leaves a small remainder.
      else delete totals[account];
    });
    return rounded;
  };

  /** Accounts that use more than half of their limit over all entries. */
  const listAccountsNearLimit = (accounts: FleetConfig['accounts'], now: number) => {
    if (now - nearLimitListedAt < nearLimitIntervalMs) return accountsNearLimit;
    nearLimitListedAt = now;
    const sums = buildTotals();
    hubs.forEach(({ rates }) => addRates(sums, rates));
    accountsNearLimit = [];
    Object.entries(sums).forEach(([key, total]) => {
      const account = key as AccountId;
      const limit = accounts[account]?.requestsPerSecond;
      if (limit !== undefined && total > limit * nearLimitRatio)
        accountsNearLimit.push({ account, total });
    });
    return accountsNearLimit;
  };

  /** An entry's shares of the accounts that use more than half of their limit. */
  const buildShares = (entry: DaemonId, accounts: FleetConfig['accounts'], now: number) => {
    const entryRates = entries.get(entry)?.rates ?? {};
    const shares: Record<AccountId, number> = {};
    listAccountsNearLimit(accounts, now).forEach(({ account, total }) => {
      const share = Math.min(1, (entryRates[account] ?? 0) / total);
      shares[account] = Math.round(share * shareSteps) / shareSteps;
    });
    return shares;
  };

  return {
    receive,
    receiveTotals,
    removeSilent,
    buildTotals,
    buildShares,
    listHubs: () => [...hubs].map(([hub, { rates, seenAt }]) => ({ hub, rates, seenAt })),
  };
}

function addRates(sums: Rates, rates: Rates, sign = 1): void {
  Object.entries(rates).forEach(([key, rate]) => {
    const account = key as AccountId;
    sums[account] = (sums[account] ?? 0) + sign * rate;
  });
}
