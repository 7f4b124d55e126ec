import { buildConnector } from 'undici';
import { settleEnd } from './settle-end.js';

const resetCode = 'ECONNRESET';
const ownResetCode = 'ERR_CONNECTION_RESET';

/**
 * Creates undici's function that opens connections, so that an answer without a length that ends in
 * a reset is broken off and not whole. `resetWaitMs` is the time for which a reset may follow the end
 * of a connection.
 */
export function createConnector(resetWaitMs: number): buildConnector.connector {
  const connect = buildConnector({});
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        socket.prependListener('error', replaceResetCode);
        settleEnd(socket, resetWaitMs);
      }
      callback(...result);
    });
}

/** undici takes a connection that ends with Node's code of a reset for the end of the answer. */
function replaceResetCode(error: NodeJS.ErrnoException): void {
  if (error.code === resetCode) error.code = ownResetCode;
}
