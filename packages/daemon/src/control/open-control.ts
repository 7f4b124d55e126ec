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
import type { Trust } from '../trust/trust.js';
import type { ControlRouter } from './control-router.js';
import { createControlSocket } from './create-control-socket.js';
import type { DaemonEntry } from './daemon-entry.js';

interface OperatorQueries {
  readState(): Promise<DaemonState>;
  readRollout(): Promise<Rollout>;
  listDaemons(): Promise<DaemonEntry[]>;
  readTimeline(): Promise<TimelineEvent[]>;
  listHistory(): Promise<ConfigChange[]>;
  listEndpoints(): Promise<(Member & { running: number })[]>;
}

type OpenedControl = ControlClient & HubPeer & OperatorQueries & { close(): void };

interface PendingCall {
  /** A call that waits for a connection is certainly not run when it is given up. */
  isSent: boolean;
  fail: (code: string) => void;
}

const refusedCode = 'ECONNREFUSED';
/** Status with which a server refuses to upgrade a connection without a valid key. */
const strangerStatus = '401';
const reconnectDelayMs = 100;
/** A connection that was silent for longer during a call is dropped: its VM may be gone. */
const silenceLimitMs = 1_400;

/** Opens a client of a control node over one WebSocket, which reconnects by itself. */
export function openControl(address: string, trust: Trust): OpenedControl {
  const calls = new Set<PendingCall>();
  const socket = createControlSocket(trust, {
    open: () =>
      calls.forEach((call) => {
        call.isSent = true;
      }),
    fail: (code) => [...calls].filter(({ isSent }) => !isSent).forEach((call) => call.fail(code)),
  });
  const connection = createWSClient({
    url: `${trust.tls ? 'wss' : 'ws'}://${address}`,
    WebSocket: socket.Constructor as unknown as typeof globalThis.WebSocket,
    retryDelayMs: () => reconnectDelayMs * (1 + Math.random()),
  });
  const client = createTRPCClient<ControlRouter>({ links: [wsLink({ client: connection })] });

  const call = async <T>(
    signal: AbortSignal | undefined,
    run: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> => {
    const startedAt = performance.now();
    const controller = new AbortController();
    const abort = () => {
      const silentMs = performance.now() - Math.max(startedAt, socket.readHeardAt());
      if (socket.isOpen() && silentMs > silenceLimitMs) socket.abort();
      controller.abort();
    };
    if (signal?.aborted) abort();
    signal?.addEventListener('abort', abort, { once: true });
    const pending: PendingCall = { isSent: socket.isOpen(), fail: () => {} };
    const failed = new Promise<never>((_, reject) => {
      pending.fail = (code) => {
        const message = `${address}: ${code}`;
        const isStranger = code.endsWith(strangerStatus);
        reject(
          isStranger
            ? new RelayError(ResultCode.strangerRefused, message, { notRun: true })
            : createFailure(message, true, code),
        );
        // Takes the message out of the client's queue, so that it is not sent later.
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
      call(signal, (s) => client.exchange.mutate(report, { signal: s })),
    readQuorum: async (stateVersion, signal) => {
      try {
        return await call(signal, (s) => client.readQuorum.query({ stateVersion }, { signal: s }));
      } catch (error) {
        // Only a refused connection shows that the VM responds.
        const { code, message, cause } = error as RelayError;
        throw new RelayError(code, message, { notRun: cause === refusedCode, cause });
      }
    },
    gossip: (message, signal) => call(signal, (s) => client.gossip.mutate(message, { signal: s })),
    propose: (command, signal) =>
      call(signal, (s) => client.propose.mutate(command, { signal: s })),
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

function createFailure(message: string, notRun: boolean, cause: unknown): RelayError {
  return new RelayError(ResultCode.connectionFailed, message, { notRun, cause });
}

function toRelayError(cause: unknown, isSent: boolean): RelayError {
  if (cause instanceof RelayError) return cause;
  const data = cause instanceof TRPCClientError ? (cause.data as { refusal?: Refusal }) : undefined;
  if (data?.refusal) {
    const { code, message, ...details } = data.refusal;
    return new RelayError(code, message, { ...details, cause });
  }
  return createFailure((cause as Error).message, !isSent, cause);
}
