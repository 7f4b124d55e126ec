import { RelayError, ResultCode, type EngineOrder } from '@vanillarelay/core';

interface OrderBookOptions {
  fencing: 'checked' | 'ignored';
  /** Carries the order out. */
  run: (order: EngineOrder) => Promise<void>;
}

/** Makes the engine's record of orders, which may refuse outdated fencing tokens. */
export function createOrderBook({ fencing, run }: OrderBookOptions) {
  const orders: EngineOrder[] = [];
  let highestToken = 0;

  const receive = async (order: EngineOrder): Promise<void> => {
    if (fencing === 'checked' && order.fencingToken < highestToken) {
      throw new RelayError(
        ResultCode.staleFencingToken,
        `fencing token ${order.fencingToken} is older than ${highestToken}`,
        { notRun: true },
      );
    }
    highestToken = Math.max(highestToken, order.fencingToken);
    orders.push(order);
    await run(order);
  };

  return { receive, list: (): readonly EngineOrder[] => orders };
}
