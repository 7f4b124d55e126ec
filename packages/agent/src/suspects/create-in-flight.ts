import type { Clock, Fingerprint, RelayError } from '@vanillarelay/core';

interface Flight {
  fingerprint: Fingerprint;
  /** Ends the request because its endpoint is dead. */
  cancel: (error: RelayError) => void;
}

/** A connection breaks a moment before health checks see that the endpoint is dead. */
const brokenKeepMs = 2_000;

/** Makes the set of requests in progress, with those whose connection has just broken. */
export function createInFlight(clock: Clock) {
  const flights = new Set<Flight>();
  let broken: { fingerprint: Fingerprint; at: number }[] = [];

  const add = (flight: Flight): ((isBroken: boolean) => void) => {
    flights.add(flight);
    return (isBroken) => {
      if (!flights.delete(flight) || !isBroken) return;
      broken.push({ fingerprint: flight.fingerprint, at: clock.monotonic() });
    };
  };

  /** Fingerprints that may have killed the endpoint; each is told once for one crash. */
  const takeSuspects = (): Fingerprint[] => {
    const since = clock.monotonic() - brokenKeepMs;
    const suspects = [
      ...[...flights].map(({ fingerprint }) => fingerprint),
      ...broken.filter(({ at }) => at >= since).map(({ fingerprint }) => fingerprint),
    ];
    broken = [];
    return [...new Set(suspects)];
  };

  const cancelAll = (error: RelayError): void => {
    const all = [...flights];
    flights.clear();
    all.forEach(({ cancel }) => cancel(error));
  };

  /** Forgets breaks that no crash followed. */
  const removeOld = (): void => {
    const since = clock.monotonic() - brokenKeepMs;
    broken = broken.filter(({ at }) => at >= since);
  };

  return { add, takeSuspects, cancelAll, removeOld };
}
