import type { AccountId, DaemonId, FleetConfig } from '@vanillarelay/core';

type Rates = Record<AccountId, number>;

interface UsageTableOptions {
  /** The hub itself. */
  id: DaemonId;
  /** The hub that received an entry's last report. */
  findOrigin: (entry: DaemonId) => DaemonId | undefined;
}

/** Time constant of the smoothed rates: two thirds of a surge count after this time. */
const smoothingMs = 2_000;
const firstIntervalMs = 1_000;
const silenceLimitMs = 5_000;
/** Accounts below this fraction of their limit need no shares. */
const nearRatio = 0.5;
/** Rates below this, in requests per second, count as zero. */
const negligibleRate = 0.05;
/** The list of accounts near their limit is recomputed at most this often. */
const nearLimitIntervalMs = 100;
const shareSteps = 1_000;

/** Creates the hub's table of account usage over all entries. */
export function createUsageTable({ id, findOrigin }: UsageTableOptions) {
  /** Sums over `entries`, updated with each report, because there are many entries and accounts. */
  const totals: Rates = {};
  let nearAccounts: { account: AccountId; total: number }[] = [];
  let nearLimitListedAt = Number.NEGATIVE_INFINITY;
  const entries = new Map<DaemonId, { rates: Rates; seenAt: number }>();
  const hubs = new Map<DaemonId, { rates: Rates; seenAt: number }>();

  const receive = (entry: DaemonId, usage: Rates, now: number): void => {
    const last = entries.get(entry);
    const intervalMs = Math.max(1, last ? now - last.seenAt : firstIntervalMs);
    const decay = Math.exp(-intervalMs / smoothingMs);
    const rates: Rates = {};
    Object.entries(last?.rates ?? {}).forEach(([account, rate]) => {
      if (rate * decay > negligibleRate) rates[account as AccountId] = rate * decay;
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
      if (rate > negligibleRate) rounded[account] = Math.round(rate * 100) / 100;
      // Floating-point subtraction leaves a small remainder.
      else delete totals[account];
    });
    return rounded;
  };

  /** Accounts that use more than half of their limit over all entries. */
  const listAccountsNearLimit = (accounts: FleetConfig['accounts'], now: number) => {
    if (now - nearLimitListedAt < nearLimitIntervalMs) return nearAccounts;
    nearLimitListedAt = now;
    const sums = buildTotals();
    hubs.forEach(({ rates }) => addRates(sums, rates));
    nearAccounts = [];
    Object.entries(sums).forEach(([key, total]) => {
      const account = key as AccountId;
      const limit = accounts[account]?.requestsPerSecond;
      if (limit !== undefined && total > limit * nearRatio) nearAccounts.push({ account, total });
    });
    return nearAccounts;
  };

  /** An entry's shares of the accounts that use more than half of their limit. */
  const buildShares = (entry: DaemonId, accounts: FleetConfig['accounts'], now: number) => {
    const own = entries.get(entry)?.rates ?? {};
    const shares: Record<AccountId, number> = {};
    listAccountsNearLimit(accounts, now).forEach(({ account, total }) => {
      const share = Math.min(1, (own[account] ?? 0) / total);
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
