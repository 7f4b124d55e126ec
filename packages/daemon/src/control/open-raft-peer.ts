import type { RaftPeer } from '@vanillarelay/control';
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client';
import type { PeerCredentials } from '../trust/peer-credentials.js';
import type { ControlRouter } from './control-router.js';
import { createControlSocket } from './create-control-socket.js';

const reconnectDelayMs = 100;
/**
 * If no message has arrived for this long when a call is aborted, the connection is closed, because
 * the node's VM may be lost.
 */
const silenceLimitMs = 1_400;

/** Opens a Raft connection to another control node; it reconnects automatically. */
export function openRaftPeer(
  address: string,
  credentials: PeerCredentials,
): RaftPeer & { close(): void } {
  const socket = createControlSocket(credentials, { open: () => {}, fail: () => {} });
  const connection = createWSClient({
    url: `${credentials.tls ? 'wss' : 'ws'}://${address}`,
    WebSocket: socket.Constructor as unknown as typeof globalThis.WebSocket,
    retryDelayMs: () => reconnectDelayMs,
  });
  const { raft } = createTRPCClient<ControlRouter>({ links: [wsLink({ client: connection })] });
  /** Time of the last message; before the first one, of the opening or of the last closing. */
  let silentSince = performance.now();

  const call = async <T>(signal: AbortSignal, run: () => Promise<T>): Promise<T> => {
    silentSince = Math.max(silentSince, socket.readLastMessageAt());
    const abort = () => {
      const silentMs = performance.now() - Math.max(silentSince, socket.readLastMessageAt());
      if (!socket.isOpen() || silentMs <= silenceLimitMs) return;
      socket.abort();
      silentSince = performance.now();
    };
    signal.addEventListener('abort', abort, { once: true });
    try {
      return await run();
    } finally {
      signal.removeEventListener('abort', abort);
    }
  };

  return {
    requestVote: (request, signal) =>
      call(signal, () => raft.requestVote.mutate(request, { signal })),
    appendEntries: (request, signal) =>
      call(signal, () => raft.appendEntries.mutate(request, { signal })),
    installSnapshot: (request, signal) =>
      call(signal, () => raft.installSnapshot.mutate(request, { signal })),
    readSender: (signal) => call(signal, () => raft.readSender.query(undefined, { signal })),
    close: () => {
      void connection.close();
      socket.abort();
    },
  };
}
