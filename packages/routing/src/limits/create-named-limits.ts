import type { Clock, EndpointId } from '@vanillarelay/core';
import type { RateReports } from './rate-reports.js';

interface NamedLimit {
  /** Requests per second; undefined when the endpoint names no limit now. */
  perS: number | undefined;
  /** Monotonic time of the endpoint's last answer that named a limit or none. */
  at: number;
}

/** Bounds of the time after which a limit that no answer has confirmed is dropped. */
const minRetentionMs = 10_000;
const maxRetentionMs = 60_000;
/** Requests at the limited rate within which an answer must confirm the limit. */
const unconfirmedRequests = 10;
const msPerS = 1_000;
/** Time that a report travels between two routers; its age does not include it. */
const transitMs = 300;

interface NamedLimitsOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Called when the limit of an endpoint changes; undefined when it names none any more. */
  notify: (id: EndpointId, perS: number | undefined) => void;
}

/** Creates the record of the request rates that endpoints name in their answers. */
export function createNamedLimits({ clock, notify }: NamedLimitsOptions) {
  const limits = new Map<EndpointId, NamedLimit>();

  const isExpired = ({ perS, at }: NamedLimit): boolean => {
    const confirmMs = perS === undefined ? 0 : (unconfirmedRequests / perS) * msPerS;
    const retentionMs = Math.min(maxRetentionMs, Math.max(minRetentionMs, confirmMs));
    return clock.monotonic() - at > retentionMs;
  };

  const update = (id: EndpointId, limit: NamedLimit): void => {
    const isChange = limits.get(id)?.perS !== limit.perS;
    limits.set(id, limit);
    if (isChange) notify(id, limit.perS);
  };

  return {
    /** Records an answer of the endpoint itself, which may name no limit. */
    record: (id: EndpointId, perS: number | undefined): void => {
      if (perS === undefined && !limits.has(id)) return;
      update(id, { perS, at: clock.monotonic() });
    },
    /** Merges what the other routers know. */
    merge: (reports: RateReports): void => {
      Object.entries(reports).forEach(([key, { limitPerS, ageMs }]) => {
        const id = key as EndpointId;
        const at = clock.monotonic() - ageMs - transitMs;
        if (at > (limits.get(id)?.at ?? -Infinity)) update(id, { perS: limitPerS, at });
      });
    },
    find: (id: EndpointId): number | undefined => {
      const limit = limits.get(id);
      return limit && !isExpired(limit) ? limit.perS : undefined;
    },
    /** Lists the endpoints that name a limit, or did so not long ago. */
    list: (): (NamedLimit & { id: EndpointId })[] => {
      limits.forEach((limit, id) => {
        if (!isExpired(limit)) return;
        limits.delete(id);
        if (limit.perS !== undefined) notify(id, undefined);
      });
      return [...limits].map(([id, limit]) => ({ id, ...limit }));
    },
  };
}
