/** Work that an account may have served on each visit. */
const quantum = 1;
/** Work that one request counts for at most; it bounds the visits until a request is served. */
const maxWork = 32;

/**
 * Creates a deficit round robin (Shreedhar and Varghese, 1995) over the accounts that have requests
 * waiting: on each visit an account gains a quantum, and is served while what it gained covers the
 * work of its next request.
 */
export function createFairRounds() {
  let ring: string[] = [];
  /** Work that each account of the ring may have served; negative when it was served ahead of turn. */
  const credits = new Map<string, number>();
  /** Whether the first account of the ring has gained its quantum on this visit. */
  let isVisited = false;

  const updateRing = (present: ReadonlySet<string>): void => {
    const [first] = ring;
    ring = ring.filter((account) => present.has(account));
    if (ring[0] !== first) isVisited = false;
    const known = new Set(ring);
    present.forEach((account) => {
      if (!known.has(account)) ring.push(account);
    });
    credits.forEach((credit, account) => {
      if (credit >= 0 && !present.has(account)) credits.delete(account);
    });
  };

  const readCredit = (account: string): number => credits.get(account) ?? 0;

  return {
    /**
     * Chooses the account that is served next; the map holds the work of each one's next request.
     * An account that is present without such a request keeps its place and its credit.
     */
    choose: (
      heads: ReadonlyMap<string, number>,
      present: ReadonlySet<string> = new Set(heads.keys()),
    ): string | undefined => {
      updateRing(present);
      while (heads.size > 0) {
        const [account] = ring;
        if (account === undefined) return undefined;
        const work = heads.get(account);
        if (work !== undefined) {
          if (!isVisited) credits.set(account, readCredit(account) + quantum);
          isVisited = true;
          if (readCredit(account) >= Math.min(maxWork, work)) return account;
        }
        ring.push(...ring.splice(0, 1));
        isVisited = false;
      }
      return undefined;
    },
    /** Records that a request of an account was served. */
    record: (account: string, work: number): void => {
      credits.set(account, readCredit(account) - Math.min(maxWork, work));
    },
    readCredit,
  };
}
