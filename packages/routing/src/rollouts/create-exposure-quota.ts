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
  return {
    recordRequest: (): void => {
      requests += 1;
    },
    recordSend: (): void => {
      sent += 1;
    },
    hasRoom: (): boolean => sent + 1 <= usableShare * exposeShare * requests + slackPart,
    read: () => ({ requests, sent }),
  };
}
