/** Time for which requests of an urgency are expected after one came in. */
const expectedMs = 3_000;
/** Part of a service's places that is kept for more urgent requests. */
const reservedShare = 0.05;

/**
 * Creates the reserve of one service: while more urgent requests are known to come, the least urgent
 * ones do not take its last places.
 */
export function createUrgentReserve() {
  const lastAt = new Map<number, number>();
  return {
    /** Records that a request of this urgency came in. */
    record: (urgency: number, now: number): void => {
      lastAt.set(urgency, now);
    },
    /** Number of free places that a request of this urgency must leave. */
    compute: (urgency: number, places: number, now: number): number => {
      lastAt.forEach((at, other) => {
        if (now - at > expectedMs) lastAt.delete(other);
      });
      const others = [...lastAt.keys()];
      const isLeast = others.every((other) => other <= urgency);
      const isUrgentExpected = others.some((other) => other < urgency);
      return isLeast && isUrgentExpected ? Math.ceil(places * reservedShare) : 0;
    },
  };
}
