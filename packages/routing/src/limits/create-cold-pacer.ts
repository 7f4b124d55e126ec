import { findRendezvousFirst, type Clock, type DaemonId, type EndpointId, type Hash } from '@vanillarelay/core';

interface ColdPacerOptions {
  clock: Pick<Clock, 'monotonic'>;
  hash: Hash;
  self: DaemonId;
  /** Routers that may send, this one included. */
  listRouters: () => readonly DaemonId[];
}

const windowMs = 1_000;
/** Part of a cold endpoint's rate that is given out; the rest covers what routers count late. */
const safeShare = 0.7;

/** Makes the limit on requests to cold endpoints, which all routers keep together by even shares. */
export function createColdPacer({ clock, hash, self, listRouters }: ColdPacerOptions) {
  const sent = new Map<EndpointId, number[]>();

  /** Requests in a window that this router may send; some routers get none when shares are under one. */
  const computeShare = (id: EndpointId, ratePerS: number): number => {
    const routers = listRouters();
    const rate = Math.max(1, Math.floor(ratePerS * safeShare));
    const share = rate / Math.max(1, routers.length);
    if (share >= 1) return Math.floor(share);
    const skip = new Set<DaemonId>();
    while (skip.size < rate) {
      const next = findRendezvousFirst(hash, id, routers, skip);
      if (next === undefined) return 0;
      if (next === self) return 1;
      skip.add(next);
    }
    return 0;
  };

  const countSent = (id: EndpointId): number => {
    const since = clock.monotonic() - windowMs;
    const times = (sent.get(id) ?? []).filter((at) => at > since);
    if (times.length > 0) sent.set(id, times);
    else sent.delete(id);
    return times.length;
  };

  return {
    hasRoom: (id: EndpointId, ratePerS: number): boolean =>
      countSent(id) < computeShare(id, ratePerS),
    record: (id: EndpointId): void => {
      sent.set(id, [...(sent.get(id) ?? []), clock.monotonic()]);
    },
  };
}
