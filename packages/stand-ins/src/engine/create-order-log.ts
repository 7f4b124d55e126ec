import { RelayError, ResultCode, type EngineOrder } from '@vanillarelay/core';

interface OrderLogOptions {
  fencing: 'checked' | 'ignored';
  /** Executes the order. */
  run: (order: EngineOrder) => Promise<void>;
}

/** Creates the log of received orders; with `checked` fencing it refuses outdated tokens. */
export function createOrderLog({ fencing, run }: OrderLogOptions) {
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
