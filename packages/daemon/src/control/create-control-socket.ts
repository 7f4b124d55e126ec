import { WebSocket, type ClientOptions } from 'ws';
import type { Trust } from '../trust/trust.js';
import { controlKeyHeader } from './control-key-header.js';
import { messageLimits } from './message-limits.js';

interface ControlSocketListeners {
  open: () => void;
  /** Called when a connection could not be opened, with the error code of the system. */
  fail: (code: string) => void;
}

const handshakeTimeoutMs = 1_000;

/** Makes the WebSocket constructor of one control client: it presents the key and tells of failures. */
export function createControlSocket({ key, tls }: Trust, listeners: ControlSocketListeners) {
  let current: WebSocket | undefined;
  let heardAt = Number.NEGATIVE_INFINITY;
  const options: ClientOptions = {
    headers: { [controlKeyHeader]: key },
    maxPayload: messageLimits.payloadBytes,
    handshakeTimeout: handshakeTimeoutMs,
    ...(tls ? { ca: tls.ca } : {}),
  };

  // Not an arrow function: the tRPC client calls it with `new`.
  function openSocket(url: string): WebSocket {
    const socket = new WebSocket(url, options);
    let isOpen = false;
    socket.on('open', () => {
      isOpen = true;
      current = socket;
      listeners.open();
    });
    socket.on('message', () => {
      heardAt = performance.now();
    });
    socket.on('error', (error: Error & { code?: string }) => {
      if (!isOpen) listeners.fail(error.code ?? error.message);
    });
    return socket;
  }

  // The tRPC client compares states with the constants of its constructor.
  const { CONNECTING, OPEN, CLOSING, CLOSED } = WebSocket;

  return {
    Constructor: Object.assign(openSocket, { CONNECTING, OPEN, CLOSING, CLOSED }),
    isOpen: (): boolean => current?.readyState === WebSocket.OPEN,
    readHeardAt: (): number => heardAt,
    /** Drops the connection without a closing handshake. */
    abort: (): void => current?.terminate(),
  };
}
