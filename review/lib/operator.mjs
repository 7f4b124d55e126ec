import { sendCall } from './send-call.mjs';
import { wait } from './wait.mjs';

const callTimeoutMs = 1000;
const firstBackoffMs = 100;
const finalStatuses = new Set([400, 409, 412, 413, 422]);

/**
 * Creates the operator: it sends an order to one daemon, and after a failure, a 5xx or a second
 * without a response sends the same order to the next one, until it is acknowledged.
 */
export function createOperator({ controls, log, limitMs = 4000 }) {
  return {
    /** Sends an order; `first` is the daemon that is called first. Resolves with the time of the ack. */
    send: async (method, path, { body, first = controls[0], forMs = limitMs } = {}) => {
      const order = [first, ...controls.filter((control) => control !== first)];
      const deadline = performance.now() + forMs;
      let backoffMs = firstBackoffMs;
      for (let count = 0; performance.now() < deadline; count += 1) {
        const address = order[count % order.length];
        const reply = await sendCall({ address, method, path, body, timeoutMs: callTimeoutMs });
        const { status, reason } = reply;
        log('order', { method, path, address, status, reason });
        if (status >= 200 && status < 300) return { at: performance.now(), address };
        if (finalStatuses.has(status)) throw new Error(`${method} ${path} was refused: ${status}`);
        await wait(backoffMs);
        backoffMs = Math.min(1000, backoffMs * 2);
      }
      throw new Error(`${method} ${path} was not acknowledged in time`);
    },
  };
}
