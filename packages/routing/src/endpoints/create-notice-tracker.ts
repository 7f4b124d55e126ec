import type { Clock, EndpointId } from '@vanillarelay/core';
import type { EndpointNotices } from './endpoint-notices.js';

interface NoticeTrackerOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Start of an endpoint's incarnation that is known now; undefined when it has departed. */
  findStart: (id: EndpointId) => number | undefined;
  /** Called when an endpoint says for the first time that it is leaving. */
  reportLeaving: (id: EndpointId) => void;
  /** Called when an endpoint names a time for which it accepts no requests. */
  reportWait: (id: EndpointId, waitMs: number) => void;
}

interface Notice {
  /** Start of the incarnation that gave the notice. */
  bornAt: number;
  isLeaving: boolean;
  /** Monotonic time until which it accepts no requests from this router; 0 without a wait. */
  waitsUntil: number;
  /** Monotonic time at which a request was sent to test whether the wait is over. */
  probedAt: number;
}

/** Longest wait that is respected; a longer one says nothing about the time after it. */
const maxWaitMs = 60_000;
/** Time after which a test request without an answer does not keep others from being sent. */
const probeTimeoutMs = 1_000;

/**
 * Creates a router’s record of what endpoints said in their answers: that they are leaving, which
 * holds for the rest of the incarnation, and for how long they accept no requests. A wait applies to
 * the router that was refused; after it, one request tests the endpoint before the others follow.
 * What other routers report is held apart, so that it is not reported back to them.
 */
export function createNoticeTracker(options: NoticeTrackerOptions) {
  const { clock, findStart, reportLeaving, reportWait } = options;
  const own = new Map<EndpointId, Notice>();
  const leavingElsewhere = new Map<EndpointId, number>();
  let waitsElsewhere = new Map<EndpointId, { bornAt: number; until: number }>();

  const findOwn = (id: EndpointId): Notice | undefined => {
    const notice = own.get(id);
    return notice && notice.bornAt === findStart(id) ? notice : undefined;
  };

  const update = (id: EndpointId, bornAt: number, change: Partial<Notice>): void => {
    const known = own.get(id);
    const isSame = known?.bornAt === bornAt;
    if (known && known.bornAt > bornAt) return;
    const notice = isSame ? known : { bornAt, isLeaving: false, waitsUntil: 0, probedAt: 0 };
    own.set(id, { ...notice, ...change });
  };

  const isProbing = ({ probedAt }: Notice): boolean =>
    probedAt > 0 && clock.monotonic() - probedAt < probeTimeoutMs;

  const isLeaving = (id: EndpointId): boolean => {
    if (findOwn(id)?.isLeaving) return true;
    const bornAt = leavingElsewhere.get(id);
    return bornAt !== undefined && bornAt === findStart(id);
  };

  return {
    isLeaving,
    /** Records that an answer said its endpoint is leaving. */
    recordLeaving: (id: EndpointId, bornAt: number): void => {
      if (!isLeaving(id)) reportLeaving(id);
      update(id, bornAt, { isLeaving: true });
    },
    /** Records a refusal that names a wait. */
    recordWait: (id: EndpointId, bornAt: number, requestedMs: number): void => {
      const waitMs = Math.min(maxWaitMs, requestedMs);
      reportWait(id, waitMs);
      update(id, bornAt, { waitsUntil: clock.monotonic() + waitMs, probedAt: 0 });
    },
    /** Records an answer that names no wait; it ends a wait that has passed. */
    recordAnswer: (id: EndpointId): void => {
      const notice = own.get(id);
      if (!notice || notice.waitsUntil > clock.monotonic()) return;
      if (notice.isLeaving) Object.assign(notice, { waitsUntil: 0, probedAt: 0 });
      else own.delete(id);
    },
    /** Records a request that is sent. */
    recordSend: (id: EndpointId): void => {
      const notice = own.get(id);
      if (notice && notice.waitsUntil > 0) notice.probedAt = clock.monotonic();
    },
    /** Time until this router may send a request to the endpoint, in milliseconds. */
    computeWaitMs: (id: EndpointId): number => {
      const notice = findOwn(id);
      if (!notice || notice.waitsUntil === 0) return 0;
      const leftMs = notice.waitsUntil - clock.monotonic();
      if (leftMs > 0) return leftMs;
      return isProbing(notice) ? notice.probedAt + probeTimeoutMs - clock.monotonic() : 0;
    },
    /** Whether the endpoint recently refused requests of other routers and named a wait. */
    isWaitingElsewhere: (id: EndpointId): boolean => {
      const wait = waitsElsewhere.get(id);
      return wait !== undefined && wait.until > clock.monotonic() && wait.bornAt === findStart(id);
    },
    /** What this router was told, for the others. */
    readLocal: (): EndpointNotices => {
      const notices: EndpointNotices = {};
      own.forEach(({ bornAt, isLeaving: isOwnLeaving, waitsUntil }, id) => {
        if (findStart(id) !== bornAt) {
          own.delete(id);
          return;
        }
        const waitMs = Math.max(0, Math.round(waitsUntil - clock.monotonic()));
        if (isOwnLeaving || waitMs > 0) notices[id] = { bornAt, isLeaving: isOwnLeaving, waitMs };
      });
      return notices;
    },
    /** Replaces the waits that other routers were told, and adds the endpoints that leave. */
    updateRemote: (notices: EndpointNotices): void => {
      const at = clock.monotonic();
      waitsElsewhere = new Map();
      Object.entries(notices).forEach(([key, { bornAt, isLeaving: isNowLeaving, waitMs }]) => {
        const id = key as EndpointId;
        if (isNowLeaving) leavingElsewhere.set(id, bornAt);
        if (waitMs > 0) waitsElsewhere.set(id, { bornAt, until: at + Math.min(maxWaitMs, waitMs) });
      });
      leavingElsewhere.forEach((bornAt, id) => {
        if (findStart(id) !== bornAt) leavingElsewhere.delete(id);
      });
    },
  };
}
