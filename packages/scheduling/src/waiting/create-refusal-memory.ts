interface Refused {
  /** Monotonic time at which the caller was expected back, and a while after it. */
  until: number;
  /** Monotonic time at which the request came in first. */
  arrivedAt: number;
}

/** Refused callers that are remembered at most. */
const maxEntries = 1_000;
/** Time beyond the named one within which a caller counts as coming back. */
const graceMs = 300;

/** Creates the memory of refused requests, so that those that come back go before newcomers. */
export function createRefusalMemory() {
  const entries = new Map<string, Refused>();

  const removeExpired = (now: number): void => {
    entries.forEach(({ until }, key) => {
      if (until < now) entries.delete(key);
    });
  };

  return {
    /** Records a refusal; the key stands for the account, the route and the content. */
    record: (key: string, arrivedAt: number, retryAfterMs: number, now: number): void => {
      if (entries.size >= maxEntries) removeExpired(now);
      const [oldest] = entries.keys();
      if (entries.size >= maxEntries && oldest !== undefined) entries.delete(oldest);
      entries.delete(key);
      entries.set(key, { until: now + retryAfterMs + graceMs, arrivedAt });
    },
    /** Removes a request that came back; returns when it came in first, or undefined for a newcomer. */
    take: (key: string, now: number): number | undefined => {
      const found = entries.get(key);
      entries.delete(key);
      return found && found.until >= now ? found.arrivedAt : undefined;
    },
    isEmpty: (): boolean => entries.size === 0,
    /** Number of refused callers that are still expected. */
    count: (now: number): number => {
      removeExpired(now);
      return entries.size;
    },
  };
}
