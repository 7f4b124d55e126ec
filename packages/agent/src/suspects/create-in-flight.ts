import type { Clock, Fingerprint, RelayError } from '@vanillarelay/core';

interface InFlightRequest {
  fingerprint: Fingerprint;
  /** Cancels the request because its endpoint is dead. */
  cancel: (error: RelayError) => void;
}

/** Time from a broken connection until health checks have detected that the endpoint is dead. */
const brokenRetentionMs = 2_000;

/** Creates the set of requests in progress and of those whose connection has just broken. */
export function createInFlight(clock: Clock) {
  const requests = new Set<InFlightRequest>();
  let recentlyBroken: { fingerprint: Fingerprint; at: number }[] = [];

  /** Adds a request; the returned function removes it and records whether its connection broke. */
  const add = (request: InFlightRequest): ((isBroken: boolean) => void) => {
    requests.add(request);
    return (isBroken) => {
      if (!requests.delete(request) || !isBroken) return;
      recentlyBroken.push({ fingerprint: request.fingerprint, at: clock.monotonic() });
    };
  };

  /** Fingerprints of requests that may have crashed the endpoint; each is listed once per crash. */
  const takeSuspects = (): Fingerprint[] => {
    const since = clock.monotonic() - brokenRetentionMs;
    const suspects = [
      ...[...requests].map(({ fingerprint }) => fingerprint),
      ...recentlyBroken.filter(({ at }) => at >= since).map(({ fingerprint }) => fingerprint),
    ];
    recentlyBroken = [];
    return [...new Set(suspects)];
  };

  const cancelAll = (error: RelayError): void => {
    const all = [...requests];
    requests.clear();
    all.forEach(({ cancel }) => cancel(error));
  };

  /** Removes requests with a broken connection that no crash has followed. */
  const removeExpired = (): void => {
    const since = clock.monotonic() - brokenRetentionMs;
    recentlyBroken = recentlyBroken.filter(({ at }) => at >= since);
  };

  return { add, takeSuspects, cancelAll, removeExpired };
}
