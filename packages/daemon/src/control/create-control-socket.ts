import { WebSocket, type ClientOptions } from 'ws';
import type { PeerCredentials } from '../trust/peer-credentials.js';
import { controlKeyHeader } from './control-key-header.js';
import { messageLimits } from './message-limits.js';

interface ControlSocketListeners {
  open: () => void;
  /**
   * Called when a connection could not be opened, with the error code, such as `ECONNREFUSED`, or
   * else the error message.
   */
  fail: (reason: string) => void;
}

const handshakeTimeoutMs = 1_000;

/**
 * Creates a WebSocket constructor for the tRPC client of one control node, with functions for the
 * socket that opened last. The sockets send the key and notify the listeners when they open or fail
 * to open.
 */
export function createControlSocket(
  { key, tls }: PeerCredentials,
  listeners: ControlSocketListeners,
) {
  /** The socket that opened last; it may have closed since. */
  let current: WebSocket | undefined;
  let lastMessageAt = Number.NEGATIVE_INFINITY;
  const options: ClientOptions = {
    headers: { [controlKeyHeader]: key },
    maxPayload: messageLimits.payloadBytes,
    handshakeTimeout: handshakeTimeoutMs,
    ...(tls ? { ca: tls.ca } : {}),
  };

  // Cannot be an arrow function, because the tRPC client calls it with `new`.
  function openSocket(url: string): WebSocket {
    const socket = new WebSocket(url, options);
    let isOpen = false;
    socket.on('open', () => {
      isOpen = true;
      current = socket;
      listeners.open();
    });
    socket.on('message', () => {
      lastMessageAt = performance.now();
    });
    socket.on('error', (error: Error & { code?: string }) => {
      if (!isOpen) listeners.fail(error.code ?? error.message);
    });
    return socket;
  }

  // The tRPC client compares `readyState` with these constants of the constructor that it is given.
  const { CONNECTING, OPEN, CLOSING, CLOSED } = WebSocket;

  return {
    Constructor: Object.assign(openSocket, { CONNECTING, OPEN, CLOSING, CLOSED }),
    isOpen: (): boolean => current?.readyState === WebSocket.OPEN,
    /**
     * Time of the last message on any of the sockets, in milliseconds of `performance.now()`;
     * `-Infinity` before the first.
     */
    readLastMessageAt: (): number => lastMessageAt,
    /** Closes the socket that opened last, without a closing handshake. */
    abort: (): void => current?.terminate(),
  };
}
