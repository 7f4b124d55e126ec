import type { Clock, EndpointId } from '@vanillarelay/core';

interface Bucket {
  tokens: number;
  /** Monotonic time to which the tokens were last refilled. */
  at: number;
}

interface BucketLimits {
  ratePerS: number;
  capacity: number;
  /** Tokens in the bucket when the endpoint is limited for the first time. */
  initialTokens: number;
}

const msPerS = 1_000;

/** Creates a token bucket for each endpoint, whose limits may change between any two requests. */
export function createTokenBuckets(clock: Pick<Clock, 'monotonic'>) {
  const buckets = new Map<EndpointId, Bucket>();
  return {
    /** Refills the bucket of an endpoint; returns its tokens. */
    update: (id: EndpointId, { ratePerS, capacity, initialTokens }: BucketLimits): number => {
      const at = clock.monotonic();
      const known = buckets.get(id) ?? { tokens: initialTokens, at };
      const refilled = known.tokens + ((at - known.at) / msPerS) * ratePerS;
      const tokens = Math.min(capacity, refilled);
      buckets.set(id, { tokens, at });
      return tokens;
    },
    /** Removes a token for a request that is sent. */
    take: (id: EndpointId): void => {
      const bucket = buckets.get(id);
      if (bucket) bucket.tokens -= 1;
    },
    remove: (id: EndpointId): void => {
      buckets.delete(id);
    },
  };
}
