import type { Clock, EndpointId, Member } from '@vanillarelay/core';
import type { FleetView } from '@vanillarelay/link';
import type { InFlightCall } from './in-flight-call.js';
import type { WatchedCall } from './watched-call.js';

interface InFlightCallsOptions {
  clock: Clock;
  readView: () => FleetView;
}

const checkPeriodMs = 500;
/** Longer than a new hub needs to learn of all members, so that no call is aborted until then. */
const absenceLimitMs = 3_000;

/**
 * Creates the registry of calls in flight. It counts them by endpoint, and aborts those whose agent
 * has left the membership or has restarted, because a frozen agent does not close its connections.
 */
export function createInFlightCalls({ clock, readView }: InFlightCallsOptions) {
  const calls = new Set<InFlightCall>();
  const counts = new Map<EndpointId, number>();
  let isChecking = false;

  const check = (): void => {
    const { members } = readView();
    const now = clock.monotonic();
    calls.forEach((call) => {
      const member = members.get(call.member.id);
      if (member?.incarnation === call.member.incarnation) call.seenAt = now;
      else if (now - call.seenAt > absenceLimitMs) call.abort();
    });
    isChecking = calls.size > 0;
    if (isChecking) clock.startTimer(checkPeriodMs, check);
  };

  const add = (call: InFlightCall): void => {
    calls.add(call);
    counts.set(call.member.id, (counts.get(call.member.id) ?? 0) + 1);
    if (isChecking) return;
    isChecking = true;
    clock.startTimer(checkPeriodMs, check);
  };

  const remove = (call: InFlightCall): void => {
    if (!calls.delete(call)) return;
    const count = (counts.get(call.member.id) ?? 1) - 1;
    if (count > 0) counts.set(call.member.id, count);
    else counts.delete(call.member.id);
  };

  /** Adds a call whose signal aborts with the caller's signal or when the agent is lost. */
  const addWatched = (member: Member, signal: AbortSignal): WatchedCall => {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const now = clock.monotonic();
    const call: InFlightCall = { member, startedAt: now, seenAt: now, abort };
    signal.addEventListener('abort', abort, { once: true });
    add(call);
    return { signal: controller.signal, call };
  };

  return {
    add,
    addWatched,
    remove,
    count: (endpoint: EndpointId): number => counts.get(endpoint) ?? 0,
    countAll: (): number => calls.size,
  };
}
