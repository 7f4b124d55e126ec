/** Part of the bound that is used, because routers may know different numbers of routers. */
const usableShare = 0.9;

interface QuotaOptions {
  exposeShare: number;
  /** Requests that this router may send to the new version besides; a whole number. */
  slackPart: number;
}

/**
 * Creates a router's quota for one roll-out: what it sends to the new version never exceeds its part
 * of the slack and a share of the requests that it received itself. The quotas of all routers
 * together therefore keep the bound without a message between them.
 */
export function createExposureQuota({ exposeShare, slackPart }: QuotaOptions) {
  let requests = 0;
  let sent = 0;
  const computeAllowed = (ofRequests: number): number =>
    usableShare * exposeShare * ofRequests + slackPart;
  return {
    recordRequest: (): void => {
      requests += 1;
    },
    recordSend: (): void => {
      sent += 1;
    },
    hasRoom: (): boolean => sent + 1 <= computeAllowed(requests),
    /**
     * Time for which the quota lasts when every request goes to the new version, given the time that
     * the requests so far took and the time that is left.
     */
    computeLastMs: (elapsedMs: number, leftMs: number): number => {
      const perMs = requests / Math.max(1, elapsedMs);
      if (perMs === 0) return Infinity;
      return (computeAllowed(requests + perMs * leftMs) - sent) / perMs;
    },
    read: () => ({ requests, sent }),
  };
}
