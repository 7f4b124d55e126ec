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

interface OrderRunnerOptions {
  id: EndpointId;
  clock: Clock;
  timeline: Timeline;
  endpoint: Pick<EndpointClient, 'sendOrder'>;
  propose: ControlClient['propose'];
  readState: () => DaemonState | undefined;
  isIsolated: () => boolean;
  /** Called after the engine has accepted an order. */
  handleOrder: () => void;
}

const permitRetryMs = 500;
const permitLeaseMs = 60_000;
const proposeTimeoutMs = 2_500;

/** Creates the runner of engine orders, which sends each once, sorted by fencing token. */
export function createOrderRunner(options: OrderRunnerOptions) {
  const { id, clock, timeline, endpoint, propose, readState, isIsolated, handleOrder } = options;
  let highestToken = 0;
  let lastDoneToken = 0;
  let lastSend: Promise<void> = Promise.resolve();
  let isRunningNewest = false;

  const findNewest = (): EngineOrder | undefined =>
    readState()?.orders.find((order) => order.endpoint === id);

  const checkFresh = ({ fencingToken }: EngineOrder): void => {
    // After a restart the agent does not know the newest token until it has the state from control.
    if (!readState() || isIsolated()) {
      throw buildRefusal(ResultCode.notReady, 'agent does not know the newest fencing token');
    }
    highestToken = Math.max(highestToken, findNewest()?.fencingToken ?? 0);
    if (fencingToken < highestToken) {
      throw buildRefusal(
        ResultCode.staleFencingToken,
        `fencing token ${fencingToken} is older than ${highestToken}`,
      );
    }
    highestToken = fencingToken;
  };

  const proposePermit = async (type: 'takePermit' | 'releasePermit'): Promise<boolean> => {
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

  /** Waits for a permit; the number of permits limits the weight loads that run at once. */
  const takePermit = async (order: EngineOrder): Promise<void> => {
    while (!(await proposePermit('takePermit'))) {
      await clock.wait(permitRetryMs);
      checkFresh(order);
    }
  };

  const send = async (order: EngineOrder): Promise<void> => {
    const needsPermit = order.action !== 'changeRole';
    checkFresh(order);
    if (order.fencingToken <= lastDoneToken) return;
    if (needsPermit) await takePermit(order);
    try {
      // Checked again after the wait: an engine that ignores the token would accept a stale order.
      checkFresh(order);
      await endpoint.sendOrder(order);
      lastDoneToken = order.fencingToken;
      timeline.record('order.sent', { action: order.action, token: order.fencingToken });
      handleOrder();
    } finally {
      if (needsPermit) void proposePermit('releasePermit');
    }
  };

  /** Sends an order when the previous one has ended; refuses a stale order. */
  const receive = async (order: EngineOrder): Promise<void> => {
    if (order.endpoint !== id)
      throw buildRefusal(ResultCode.unknownTarget, `order is not for ${id}`);
    checkFresh(order);
    const sent = lastSend.then(() => send(order));
    lastSend = sent.catch(() => {});
    await sent;
  };

  /** Executes the newest order in the state; a failed order is retried at the next call. */
  const runNewest = async (): Promise<void> => {
    const newest = findNewest();
    if (isRunningNewest || !newest || newest.fencingToken <= lastDoneToken || isIsolated()) return;
    isRunningNewest = true;
    try {
      await receive(newest);
    } catch (error) {
      timeline.record('order.failed', { message: (error as Error).message });
    } finally {
      isRunningNewest = false;
    }
  };

  return { receive, runNewest };
}

function buildRefusal(code: ResultCode, message: string): RelayError {
  return new RelayError(code, message, { notRun: true });
}
