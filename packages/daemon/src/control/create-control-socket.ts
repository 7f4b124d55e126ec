import { WebSocket, type ClientOptions } from 'ws';
import type { PeerCredentials } from '../trust/peer-credentials.js';
import { controlKeyHeader } from './control-key-header.js';
import { messageLimits } from './message-limits.js';

interface ControlSocketListeners {
  open: () => void;
  /** Called when a connection could not be opened, with the system's error code or the message. */
  fail: (reason: string) => void;
}

const handshakeTimeoutMs = 1_000;

/**
 * Creates the WebSocket constructor of one control client. Its sockets send the key and notify the
 * listeners when they open or fail to open.
 */
export function createControlSocket(
  { key, tls }: PeerCredentials,
  listeners: ControlSocketListeners,
) {
  let current: WebSocket | undefined;
  let lastMessageAt = Number.NEGATIVE_INFINITY;
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
      lastMessageAt = performance.now();
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
    readLastMessageAt: (): number => lastMessageAt,
    /** Closes the connection without a closing handshake. */
    abort: (): void => current?.terminate(),
  };
}
