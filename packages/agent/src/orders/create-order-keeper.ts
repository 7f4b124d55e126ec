import {
  RelayError,
  ResultCode,
  type Clock,
  type ControlClient,
  type DaemonState,
  type EndpointClient,
  type EndpointId,
  type EngineOrder,
  type Timeline,
} from '@vanillarelay/core';

interface OrderKeeperOptions {
  id: EndpointId;
  clock: Clock;
  timeline: Timeline;
  endpoint: Pick<EndpointClient, 'sendOrder'>;
  propose: ControlClient['propose'];
  readState: () => DaemonState | undefined;
  isIsolated: () => boolean;
  /** Called after the engine took an order. */
  handleOrder: () => void;
}

const permitRetryMs = 500;
const permitLeaseMs = 60_000;
const proposeTimeoutMs = 2_500;

/** Makes the keeper of orders: an engine gets each once, in the order of their fencing tokens. */
export function createOrderKeeper(options: OrderKeeperOptions) {
  const { id, clock, timeline, endpoint, propose, readState, isIsolated, handleOrder } = options;
  let highestToken = 0;
  let doneToken = 0;
  let tail: Promise<void> = Promise.resolve();
  let isFollowing = false;

  const findNewest = (): EngineOrder | undefined =>
    readState()?.orders.find((order) => order.endpoint === id);

  const checkFresh = ({ fencingToken }: EngineOrder): void => {
    // After a restart the agent knows no token until control has told it the newest one.
    if (!readState() || isIsolated()) {
      throw build(ResultCode.notReady, 'agent does not know the newest fencing token');
    }
    highestToken = Math.max(highestToken, findNewest()?.fencingToken ?? 0);
    if (fencingToken < highestToken) {
      throw build(
        ResultCode.staleFencingToken,
        `fencing token ${fencingToken} is older than ${highestToken}`,
      );
    }
    highestToken = fencingToken;
  };

  const call = async (type: 'takePermit' | 'releasePermit'): Promise<boolean> => {
    const timeout = new AbortController();
    const cancelTimer = clock.startTimer(proposeTimeoutMs, () => timeout.abort());
    const command =
      type === 'takePermit'
        ? ({ type, endpoint: id, leaseMs: permitLeaseMs } as const)
        : ({ type, endpoint: id } as const);
    const result = await propose(command, timeout.signal).catch(() => undefined);
    cancelTimer();
    return result?.ok ?? false;
  };

  /** Waits for a share of the weight store's rate. */
  const takePermit = async (order: EngineOrder): Promise<void> => {
    while (!(await call('takePermit'))) {
      await clock.wait(permitRetryMs);
      checkFresh(order);
    }
  };

  const send = async (order: EngineOrder): Promise<void> => {
    const needsPermit = order.action !== 'changeRole';
    checkFresh(order);
    if (order.fencingToken <= doneToken) return;
    if (needsPermit) await takePermit(order);
    try {
      // Waiting may have taken long, and an engine that ignores the token cannot refuse.
      checkFresh(order);
      await endpoint.sendOrder(order);
      doneToken = order.fencingToken;
      timeline.record('order.sent', { action: order.action, token: order.fencingToken });
      handleOrder();
    } finally {
      if (needsPermit) void call('releasePermit');
    }
  };

  /** Sends an order after the one before it has ended; refuses a stale one. */
  const receive = async (order: EngineOrder): Promise<void> => {
    if (order.endpoint !== id) throw build(ResultCode.unknownTarget, `order is not for ${id}`);
    checkFresh(order);
    const sent = tail.then(() => send(order));
    tail = sent.catch(() => {});
    await sent;
  };

  /** Carries the newest order of the state out; a failed one is tried again at the next call. */
  const runNewest = async (): Promise<void> => {
    const newest = findNewest();
    if (isFollowing || !newest || newest.fencingToken <= doneToken || isIsolated()) return;
    isFollowing = true;
    try {
      await receive(newest);
    } catch (error) {
      timeline.record('order.failed', { message: (error as Error).message });
    } finally {
      isFollowing = false;
    }
  };

  return { receive, runNewest };
}

function build(code: ResultCode, message: string): RelayError {
  return new RelayError(code, message, { notRun: true });
}
