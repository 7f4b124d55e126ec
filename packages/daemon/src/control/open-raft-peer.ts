import type { RaftPeer } from '@vanillarelay/control';
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client';
import type { Trust } from '../trust/trust.js';
import type { ControlRouter } from './control-router.js';
import { createControlSocket } from './create-control-socket.js';

const reconnectDelayMs = 100;
/** A connection that was silent for longer during a call is dropped: its VM may be gone. */
const silenceLimitMs = 1_400;

/** Opens a connection to another control node for the consensus; it reconnects by itself. */
export function openRaftPeer(address: string, trust: Trust): RaftPeer & { close(): void } {
  const socket = createControlSocket(trust, { open: () => {}, fail: () => {} });
  const connection = createWSClient({
    url: `${trust.tls ? 'wss' : 'ws'}://${address}`,
    WebSocket: socket.Constructor as unknown as typeof globalThis.WebSocket,
    retryDelayMs: () => reconnectDelayMs,
  });
  const { raft } = createTRPCClient<ControlRouter>({ links: [wsLink({ client: connection })] });
  let sentAt = performance.now();

  const call = async <T>(signal: AbortSignal, run: () => Promise<T>): Promise<T> => {
    sentAt = Math.max(sentAt, socket.readHeardAt());
    const abort = () => {
      const silentMs = performance.now() - Math.max(sentAt, socket.readHeardAt());
      if (!socket.isOpen() || silentMs <= silenceLimitMs) return;
      socket.abort();
      sentAt = performance.now();
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
