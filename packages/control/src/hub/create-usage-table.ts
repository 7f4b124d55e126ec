import type { AccountId, DaemonId, FleetConfig } from '@vanillarelay/core';

type Rates = Record<AccountId, number>;

interface UsageTableOptions {
  /** The hub itself. */
  id: DaemonId;
  /** The hub that received an entry's last report. */
  findOrigin: (entry: DaemonId) => DaemonId | undefined;
}

/** Time constant of the request rates: a surge counts by two thirds after this long. */
const smoothingMs = 2_000;
const firstIntervalMs = 1_000;
const silenceLimitMs = 5_000;
/** Accounts below this part of their limit need no shares. */
const nearLimit = 0.5;
/** Rates below this, in requests a second, are not worth a message. */
const negligibleRate = 0.05;
const shareDigits = 1_000;

/** Makes the hub's sums of account usage over all entries. */
export function createUsageTable({ id, findOrigin }: UsageTableOptions) {
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
    entries.set(entry, { rates, seenAt: now });
  };

  const receiveTotals = (hub: DaemonId, rates: Rates, seenAt: number): void => {
    if (hub === id || seenAt < (hubs.get(hub)?.seenAt ?? Number.NEGATIVE_INFINITY)) return;
    hubs.set(hub, { rates, seenAt });
  };

  const removeSilent = (now: number): void => {
    entries.forEach(({ seenAt }, entry) => {
      if (now - seenAt > silenceLimitMs || findOrigin(entry) !== id) entries.delete(entry);
    });
    hubs.forEach(({ seenAt }, hub) => {
      if (now - seenAt > silenceLimitMs) hubs.delete(hub);
    });
  };

  /** Requests a second by account, over the entries that report to this hub. */
  const buildTotals = (): Rates => {
    const totals: Rates = {};
    entries.forEach(({ rates }) => addRates(totals, rates));
    Object.entries(totals).forEach(([account, rate]) => {
      totals[account as AccountId] = Math.round(rate * 100) / 100;
    });
    return totals;
  };

  /** An entry's shares of the accounts that use more than half of their limit. */
  const buildShares = (entry: DaemonId, accounts: FleetConfig['accounts'], totals: Rates) => {
    const own = entries.get(entry)?.rates ?? {};
    const shares: Record<AccountId, number> = {};
    Object.entries(totals).forEach(([key, total]) => {
      const account = key as AccountId;
      const limit = accounts[account]?.requestsPerSecond;
      if (limit === undefined || total <= limit * nearLimit) return;
      const share = Math.min(1, (own[account] ?? 0) / total);
      shares[account] = Math.round(share * shareDigits) / shareDigits;
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
    /** Requests a second by account, over all entries. */
    readAll(): Rates {
      const totals = buildTotals();
      hubs.forEach(({ rates }) => addRates(totals, rates));
      return totals;
    },
  };
}

function addRates(sums: Rates, rates: Rates): void {
  Object.entries(rates).forEach(([key, rate]) => {
    const account = key as AccountId;
    sums[account] = (sums[account] ?? 0) + rate;
  });
}
