interface Times {
  /** Times of the last answers, in milliseconds; the oldest is replaced first. */
  last: number[];
  next: number;
  /** Median and 90th percentile; absent when an answer has come since they were computed. */
  summary?: { median: number; high: number };
}

/** Answers of a route that the threshold is computed from. */
const keptAnswers = 64;
/** Answers of a route below which none counts as slow. */
const minAnswers = 10;
/** Multiple of the usual time beyond which an answer is slow. */
const slowFactor = 3;
const highQuantile = 0.9;
/** Delay beyond the median below which no answer is slow: a busy router itself is late by as much. */
const minDelayMs = 50;
/** Routes that are kept, at most. */
const maxRoutes = 256;

/** Creates the record of the times to the first byte of a service's answers, by route. */
export function createAnswerTimes() {
  const routes = new Map<string, Times>();
  return {
    record: (key: string, ms: number): void => {
      const known = routes.get(key);
      if (!known && routes.size >= maxRoutes) return;
      const times = known ?? { last: [], next: 0 };
      routes.set(key, times);
      times.last[times.next] = ms;
      times.next = (times.next + 1) % keptAnswers;
      delete times.summary;
    },
    /**
     * Whether an answer was several times slower than usual: than the median, and also slower than
     * the 90th percentile. An answer for which the endpoint may have had to read a prompt that no cache
     * held is compared with the percentile alone, as caches of new endpoints are empty at first.
     */
    isSlow: (key: string, ms: number, mayLackCache: boolean): boolean => {
      const times = routes.get(key);
      if (!times || times.last.length < minAnswers) return false;
      times.summary ??= buildSummary(times.last);
      const { median, high } = times.summary;
      if (ms < median + minDelayMs) return false;
      return ms > (mayLackCache ? slowFactor * high : Math.max(slowFactor * median, high));
    },
  };
}

function buildSummary(values: readonly number[]): { median: number; high: number } {
  const sorted = [...values].sort((a, b) => a - b);
  const read = (quantile: number) => sorted[Math.floor((sorted.length - 1) * quantile)] ?? 0;
  return { median: read(0.5), high: read(highQuantile) };
}
