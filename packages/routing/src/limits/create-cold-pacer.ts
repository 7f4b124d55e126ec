import {
  sortByRendezvous,
  type Clock,
  type DaemonId,
  type EndpointId,
  type Hash,
} from '@vanillarelay/core';

interface ColdPacerOptions {
  clock: Pick<Clock, 'monotonic'>;
  hash: Hash;
  self: DaemonId;
  /** Routers that may send, this one included. */
  listRouters: () => readonly DaemonId[];
  /** What a cold endpoint bears in any second: its rate times the multiplier, plus the slack. */
  multiplier: number;
  slack: number;
}

interface Bucket {
  tokens: number;
  at: number;
}

const msPerS = 1_000;
/** Part of what a cold endpoint bears that is given out; the rest covers a late list of routers. */
const safeShare = 0.85;

/**
 * Makes the limit on requests to cold endpoints, which all routers keep together without asking each
 * other. Each has a bucket that holds one request and fills with its share of the rate; so many
 * routers take part that their buckets and the rate together stay below what the endpoint bears.
 */
export function createColdPacer(options: ColdPacerOptions) {
  const { clock, hash, self, listRouters, multiplier, slack } = options;
  const buckets = new Map<EndpointId, Bucket>();

  /** Requests a second that this router may send. */
  const computeRate = (id: EndpointId, ratePerS: number): number => {
    const bearable = (ratePerS * multiplier + slack) * safeShare;
    const routers = listRouters();
    const most = Math.max(1, Math.floor(bearable / 2));
    const count = Math.min(Math.max(1, routers.length), most);
    const isIn = routers.length <= most || isAmongFirst(id, most, routers);
    return isIn ? Math.max(0, bearable - count) / count : 0;
  };

  const isAmongFirst = (id: EndpointId, count: number, routers: readonly DaemonId[]): boolean =>
    sortByRendezvous(hash, id, routers).slice(0, count).includes(self);

  const readBucket = (id: EndpointId, ratePerS: number): Bucket => {
    const at = clock.monotonic();
    const known = buckets.get(id) ?? { tokens: 1, at };
    const rate = computeRate(id, ratePerS);
    if (rate === 0) return { tokens: 0, at };
    const tokens = Math.min(1, known.tokens + ((at - known.at) / msPerS) * rate);
    return { tokens, at };
  };

  return {
    hasRoom: (id: EndpointId, ratePerS: number): boolean => {
      const bucket = readBucket(id, ratePerS);
      buckets.set(id, bucket);
      return bucket.tokens >= 1;
    },
    /** Counts a request that is sent. */
    record: (id: EndpointId): void => {
      const bucket = buckets.get(id);
      if (bucket) bucket.tokens -= 1;
    },
  };
}
