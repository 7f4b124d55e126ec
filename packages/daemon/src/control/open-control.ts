import type { HubPeer, Rollout } from '@vanillarelay/control';
import {
  RelayError,
  ResultCode,
  type ConfigChange,
  type ControlClient,
  type DaemonState,
  type Member,
  type Refusal,
  type TimelineEvent,
} from '@vanillarelay/core';
import { createTRPCClient, createWSClient, TRPCClientError, wsLink } from '@trpc/client';
import type { PeerCredentials } from '../trust/peer-credentials.js';
import type { ControlRouter } from './control-router.js';
import { createControlSocket } from './create-control-socket.js';
import type { ListedDaemon } from './listed-daemon.js';

interface OperatorQueries {
  readState(): Promise<DaemonState>;
  readRollout(): Promise<Rollout>;
  listDaemons(): Promise<ListedDaemon[]>;
  readTimeline(): Promise<TimelineEvent[]>;
  listHistory(): Promise<ConfigChange[]>;
  listEndpoints(): Promise<(Member & { running: number })[]>;
}

type OpenedControl = ControlClient & HubPeer & OperatorQueries & { close(): void };

interface PendingCall {
  /** Whether the call may have been sent. While it is false, an aborted call cannot have run. */
  isSent: boolean;
  /** Rejects the call, which waits for a connection that could not be opened. */
  fail: (reason: string) => void;
}

const connectionRefusedCode = 'ECONNREFUSED';
/**
 * Status with which a server refuses the upgrade of a connection without a valid key; the error
 * message of the WebSocket ends with it.
 */
const unauthorizedStatus = '401';
/** Minimum time between two attempts to connect; a random part of up to the same is added. */
const minReconnectDelayMs = 100;
/**
 * If no message has arrived for this long when a call is aborted, the connection is closed, because
 * the node's VM may be lost.
 */
const silenceLimitMs = 1_400;

/** Opens a client for a control node over one WebSocket, which reconnects automatically. */
export function openControl(address: string, credentials: PeerCredentials): OpenedControl {
  const calls = new Set<PendingCall>();
  const socket = createControlSocket(credentials, {
    open: () =>
      calls.forEach((call) => {
        call.isSent = true;
      }),
    fail: (reason) =>
      [...calls].filter(({ isSent }) => !isSent).forEach((call) => call.fail(reason)),
  });
  const connection = createWSClient({
    url: `${credentials.tls ? 'wss' : 'ws'}://${address}`,
    WebSocket: socket.Constructor as unknown as typeof globalThis.WebSocket,
    retryDelayMs: () => minReconnectDelayMs * (1 + Math.random()),
  });
  const client = createTRPCClient<ControlRouter>({ links: [wsLink({ client: connection })] });

  const call = async <T>(
    signal: AbortSignal | undefined,
    run: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> => {
    const startedAt = performance.now();
    const controller = new AbortController();
    const abort = () => {
      const silentMs = performance.now() - Math.max(startedAt, socket.readLastMessageAt());
      if (socket.isOpen() && silentMs > silenceLimitMs) socket.abort();
      controller.abort();
    };
    if (signal?.aborted) abort();
    signal?.addEventListener('abort', abort, { once: true });
    const pending: PendingCall = { isSent: socket.isOpen(), fail: () => {} };
    const failed = new Promise<never>((_, reject) => {
      pending.fail = (reason) => {
        const message = `${address}: ${reason}`;
        const isUnauthorized = reason.endsWith(unauthorizedStatus);
        reject(
          isUnauthorized
            ? new RelayError(ResultCode.strangerRefused, message, { notRun: true })
            : createConnectionError(message, true, reason),
        );
        // Removes the message from the tRPC client's queue, so that it is not sent later.
        controller.abort();
      };
    });
    calls.add(pending);
    try {
      return await Promise.race([run(controller.signal), failed]);
    } catch (cause) {
      throw toRelayError(cause, pending.isSent);
    } finally {
      calls.delete(pending);
      signal?.removeEventListener('abort', abort);
    }
  };

  return {
    exchange: (report, signal) =>
      call(signal, (callSignal) => client.exchange.mutate(report, { signal: callSignal })),
    readQuorum: async (stateVersion, signal) => {
      try {
        return await call(signal, (callSignal) =>
          client.readQuorum.query({ stateVersion }, { signal: callSignal }),
        );
      } catch (error) {
        // Only a refused connection shows that the node's VM responds; the contact probe recognizes
        // it by `notRun`.
        const { code, message, cause } = error as RelayError;
        throw new RelayError(code, message, { notRun: cause === connectionRefusedCode, cause });
      }
    },
    gossip: (message, signal) =>
      call(signal, (callSignal) => client.gossip.mutate(message, { signal: callSignal })),
    propose: (command, signal) =>
      call(signal, (callSignal) => client.propose.mutate(command, { signal: callSignal })),
    readState: () => call(undefined, () => client.readState.query()),
    readRollout: () => call(undefined, () => client.readRollout.query()),
    listDaemons: () => call(undefined, () => client.listDaemons.query()),
    readTimeline: () => call(undefined, () => client.readTimeline.query()),
    listHistory: () => call(undefined, () => client.listHistory.query()),
    listEndpoints: () => call(undefined, () => client.listEndpoints.query()),
    close: () => {
      void connection.close();
      socket.abort();
    },
  };
}

function createConnectionError(message: string, notRun: boolean, cause: unknown): RelayError {
  return new RelayError(ResultCode.connectionFailed, message, { notRun, cause });
}

function toRelayError(cause: unknown, isSent: boolean): RelayError {
  if (cause instanceof RelayError) return cause;
  const data = cause instanceof TRPCClientError ? (cause.data as { refusal?: Refusal }) : undefined;
  if (data?.refusal) {
    const { code, message, ...details } = data.refusal;
    return new RelayError(code, message, { ...details, cause });
  }
  return createConnectionError((cause as Error).message, !isSent, cause);
}
