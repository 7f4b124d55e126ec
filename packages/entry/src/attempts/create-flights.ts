import type { Clock, EndpointId, Member } from '@vanillarelay/core';
import type { FleetView } from '@vanillarelay/link';
import type { Flight } from './flight.js';
import type { WatchedCall } from './watched-call.js';

interface FlightsOptions {
  clock: Clock;
  readView: () => FleetView;
}

const checkPeriodMs = 500;
/** Longer than a new hub needs to learn the membership, so that its gaps break nothing off. */
const silenceLimitMs = 3_000;

/**
 * Makes the register of attempts in flight. It counts them by endpoint, and gives up those whose
 * agent has left the membership or has restarted, since a frozen agent breaks no connection.
 */
export function createFlights({ clock, readView }: FlightsOptions) {
  const flights = new Set<Flight>();
  const counts = new Map<EndpointId, number>();
  let isChecking = false;

  const check = (): void => {
    const { members } = readView();
    const now = clock.monotonic();
    flights.forEach((flight) => {
      const member = members.get(flight.member.id);
      if (member?.incarnation === flight.member.incarnation) flight.seenAt = now;
      else if (now - flight.seenAt > silenceLimitMs) flight.abort();
    });
    isChecking = flights.size > 0;
    if (isChecking) clock.startTimer(checkPeriodMs, check);
  };

  const add = (flight: Flight): void => {
    flights.add(flight);
    counts.set(flight.member.id, (counts.get(flight.member.id) ?? 0) + 1);
    if (isChecking) return;
    isChecking = true;
    clock.startTimer(checkPeriodMs, check);
  };

  const remove = (flight: Flight): void => {
    if (!flights.delete(flight)) return;
    const count = (counts.get(flight.member.id) ?? 1) - 1;
    if (count > 0) counts.set(flight.member.id, count);
    else counts.delete(flight.member.id);
  };

  /** Registers a call whose signal aborts with the caller's, or when the agent is gone. */
  const openWatched = (member: Member, signal: AbortSignal): WatchedCall => {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const now = clock.monotonic();
    const flight: Flight = { member, startedAt: now, seenAt: now, abort };
    signal.addEventListener('abort', abort, { once: true });
    add(flight);
    return { signal: controller.signal, flight };
  };

  return {
    add,
    openWatched,
    remove,
    count: (endpoint: EndpointId): number => counts.get(endpoint) ?? 0,
    countAll: (): number => flights.size,
  };
}
