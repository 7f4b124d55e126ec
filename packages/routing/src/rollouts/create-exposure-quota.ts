/** Part of the share that is used; the rest covers requests that another router saw as well. */
const usableShare = 0.9;

interface QuotaOptions {
  exposeShare: number;
}

/**
 * Creates a router's quota for one roll-out: a share of the requests that it received itself. As each
 * router keeps its own, all together keep the bound without a message between them. Sends as a last
 * resort are counted but not held back. The slack of the bound is not used: routers that know
 * different numbers of routers cannot divide it safely.
 */
export function createExposureQuota({ exposeShare }: QuotaOptions) {
  let requests = 0;
  let sent = 0;
  return {
    recordRequest: (): void => {
      requests += 1;
    },
    recordSend: (): void => {
      sent += 1;
    },
    hasRoom: (): boolean => sent + 1 <= usableShare * exposeShare * requests,
    read: () => ({ requests, sent }),
  };
}
