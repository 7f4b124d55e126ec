/** Time over which the rate is averaged. */
const averageMs = 1_000;
/** Time after the first place from which the rate is known well enough. */
const minAgeMs = 250;

/** Creates the average of how often a place becomes free, with exponential decay. */
export function createPlaceRate() {
  let firstAt: number | undefined;
  let count = 0;
  let at = 0;
  const updateCount = (now: number): void => {
    count *= Math.exp(-Math.max(0, now - at) / averageMs);
    at = Math.max(at, now);
  };
  return {
    record: (now: number): void => {
      firstAt ??= now;
      updateCount(now);
      count += 1;
    },
    /** Places for each millisecond; undefined while too little was seen. */
    read: (now: number): number | undefined => {
      if (firstAt === undefined || now - firstAt < minAgeMs) return undefined;
      updateCount(now);
      const coveredMs = averageMs * (1 - Math.exp(-(now - firstAt) / averageMs));
      return count / coveredMs;
    },
  };
}
