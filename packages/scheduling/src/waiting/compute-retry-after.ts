interface RetryAfterInput {
  /** Requests that are served before this one when it comes back: waiting and refused ones. */
  ahead: number;
  /** Places that become free for each millisecond; undefined when that is not known. */
  placesPerMs: number | undefined;
  /** Time until there is room at the earliest, when an endpoint has named it. */
  roomInMs?: number;
  /** Time for which the caller still waits. */
  leftMs: number;
  random: () => number;
}

/** Part of the time left that a refused caller may be told to wait: it needs the rest for the answer. */
const maxShareOfLeft = 1 / 3;
/** Time until there is room, when nothing is known of it, as a part of the time left. */
const unknownShareOfLeft = 1 / 6;
/** Lower bound of the drawn time as a part of the time left, as a caller has only few attempts. */
const minShareOfLeft = 1 / 8;
/** Bounds of the drawn time, as factors of the time until there is room. */
const lowestFactor = 0.75;
const highestFactor = 1.5;
/** Time over which callers are spread at least, so that those refused together return one by one. */
const minSpreadMs = 100;

/**
 * Time after which a refused caller should come back, in milliseconds: when there will be room,
 * drawn at random from a range, within a third of the time that the caller has left.
 */
export function computeRetryAfter(input: RetryAfterInput): number {
  const { ahead, placesPerMs, roomInMs = 0, leftMs, random } = input;
  const maxMs = Math.max(0, leftMs) * maxShareOfLeft;
  const isKnown = placesPerMs !== undefined && placesPerMs > 0;
  const queueMs = isKnown ? (ahead + 1) / placesPerMs : leftMs * unknownShareOfLeft;
  const roomMs = Math.max(roomInMs, queueMs);
  // A range that begins at the limit would send all callers back at the same instant.
  const soonest = Math.max(roomMs * lowestFactor, leftMs * minShareOfLeft);
  const lowest = Math.max(0, Math.min(soonest, maxMs / 2));
  const highest = Math.min(Math.max(roomMs * highestFactor, lowest + minSpreadMs), maxMs);
  return lowest + random() * Math.max(0, highest - lowest);
}
