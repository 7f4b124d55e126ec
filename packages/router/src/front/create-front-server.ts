import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { RelayError, ResultCode, toRefusal, type Clock, type InputAge } from '@vanillarelay/core';
import type { RouteTable } from '@vanillarelay/routing';
import type { Arrival } from '../loop/arrival.js';
import type { LoopMonitor } from '../loop/loop-monitor.js';
import type { MemoryBudget } from '../memory/memory-budget.js';
import { computeDeadline } from '../requests/compute-deadline.js';
import type { RequestResult } from '../requests/request-result.js';
import type { RoutedRequest } from '../requests/routed-request.js';
import type { RouterWire } from '../wire/router-wire.js';
import { computeStateRetry } from './compute-state-retry.js';
import { createCaller } from './create-caller.js';
import { createHeldRequests } from './create-held-requests.js';
import { estimateUnreadBytes } from './estimate-unread-bytes.js';
import { receiveBody } from './receive-body.js';
import { sendRefusal } from './send-refusal.js';

interface FrontServerOptions {
  clock: Clock;
  wire: RouterWire;
  /** Memory that this process may hold for requests. */
  memory: MemoryBudget;
  /** The configuration in force; undefined until there is one. */
  readTable: () => RouteTable | undefined;
  /** Whether this daemon closes connections after their current request. */
  isClosing: () => boolean;
  /** Aborted when this daemon begins to stop. */
  stopSignal: AbortSignal;
  /** Whether a request with this deadline ends before this daemon does. */
  canComplete: (deadlineAt: number) => boolean;
  /** Estimates when a request that is read now, or its connection, reached the VM. */
  estimateArrival: LoopMonitor['estimateArrival'];
  /** Starts the longest time, in milliseconds, since what is read now reached the VM. */
  startAge: InputAge['startAge'];
  run: (request: RoutedRequest) => Promise<RequestResult>;
  /** Called once for each request, with its result. */
  report: (request: ReportedRequest, result: RequestResult) => void;
}

interface ReportedRequest {
  id: string;
  route?: string;
  /** Monotonic time at which it reached the VM, as estimated. */
  startedAt: number;
  /** Set when the daemon was paused and read the request afterwards. */
  wasPaused?: true;
  version?: number;
  /** How long it was held until the state was in force. */
  heldMs?: number;
  /** Monotonic time at which the router noticed that the caller had disconnected. */
  leftAt?: number;
  releaseBody?: () => void;
}

const maxHeaderBytes = 64 * 1024;
/** Age of input from which this daemon counts as paused rather than late. */
const pausedMs = 1_000;
/** Retry time for callers of a daemon that was paused; the others can serve them at once. */
const pausedRetryMs = 10;
/** Idle timeout until the first configuration is received. */
const initialIdleTimeoutMs = 60_000;
/**
 * Factor by which the server keeps an idle connection longer than the configured timeout. Callers
 * reuse it up to that timeout, so no request arrives while the server closes the connection.
 */
const idleTimeoutFactor = 1.25;
const malformedResponse =
  'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';
const headersTooLargeResponse =
  'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** Creates the server for requests from callers. */
export function createFrontServer(options: FrontServerOptions): Server & {
  updateTable(table: RouteTable): void;
} {
  const { clock, wire, memory, readTable, isClosing, stopSignal } = options;
  const createdAt = clock.monotonic();
  const held = createHeldRequests({ clock, stopSignal });

  /** Arrivals of connections until their first request. */
  const connections = new WeakMap<Socket, Arrival>();
  /** When a request that is read now reached the VM; the earliest time after a pause. */
  const readArrival = (socket: Socket): Pick<ReportedRequest, 'startedAt' | 'wasPaused'> => {
    const { at } = options.estimateArrival(connections.get(socket));
    connections.delete(socket);
    const ageMs = options.startAge(socket)();
    if (ageMs < pausedMs) return { startedAt: at };
    return { startedAt: Math.min(at, clock.monotonic() - ageMs), wasPaused: true };
  };

  /** Resolves with the configuration in force; holds a request that comes before there is one. */
  const waitForTable = async (
    message: IncomingMessage,
    signal: AbortSignal,
    reported: ReportedRequest,
    deadlineMs: number | undefined,
  ): Promise<RouteTable> => {
    const { startedAt } = reported;
    const bytes = estimateUnreadBytes(message);
    const end = await held.hold({ startedAt, deadlineMs, bytes, signal });
    reported.heldMs = Math.round(clock.monotonic() - startedAt);
    const table = readTable();
    if (table) return table;
    const retryAfterMs =
      end === 'stopping' ? stoppingRetryMs : computeStateRetry(clock.monotonic() - createdAt);
    throw new RelayError(ResultCode.notReady, `no configuration received yet (${end})`, {
      ...{ notRun: true, retryAfterMs },
    });
  };

  const admit = async (
    message: IncomingMessage,
    caller: RoutedRequest['caller'],
    reported: ReportedRequest,
  ) => {
    const { startedAt } = reported;
    const readDelayMs = clock.monotonic() - startedAt;
    const path = message.url ?? '';
    const { method = 'GET', rawHeaders } = message;
    const host = message.headers.host ?? '';
    const facts = wire.parseRequest({ method, path, host, rawHeaders });
    reported.id = facts.id;
    const table =
      readTable() ?? (await waitForTable(message, caller.signal, reported, facts.deadlineMs));
    reported.version = table.config.version;
    const route = table.findRoute(host, path.split('?', 1)[0] ?? path);
    if (!route)
      throw new RelayError(ResultCode.unknownPath, 'no route matches the host and path', {
        notRun: true,
      });
    reported.route = route.name;
    const account = facts.key === undefined ? undefined : table.findAccount(facts.key);
    const mayBeAnonymous = route.isPublic || !table.config.requiresKey;
    if (!account && !mayBeAnonymous) {
      throw new RelayError(ResultCode.unauthorized, 'unknown key', { notRun: true });
    }
    const deadlineAt = computeDeadline({ facts, route, startedAt });
    if (reported.wasPaused && deadlineAt <= clock.monotonic()) {
      const text = 'this daemon was paused, and the caller may have given the request up';
      throw new RelayError(ResultCode.notReady, text, {
        notRun: true,
        retryAfterMs: pausedRetryMs,
      });
    }
    const { bytes: body, release } = await receiveBody({
      ...{ clock, memory, message, signal: caller.signal },
      limitBytes: table.config.bounds.maxBodyBytes,
      waitMs: route.objectiveMs * bodyWaitShare,
      timeoutMs: deadlineAt - clock.monotonic(),
    });
    reported.releaseBody = release;
    if (!options.canComplete(deadlineAt)) {
      throw new RelayError(ResultCode.notReady, 'this daemon stops before the deadline', {
        ...{ notRun: true, retryAfterMs: stoppingRetryMs },
      });
    }
    return {
      ...{ method, path, facts, body, table, route, caller, startedAt, readDelayMs },
      ...(account ? { account } : {}),
    };
  };

  const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const caller = createCaller(message, response, isClosing);
    const reported: ReportedRequest = { id: '', ...readArrival(message.socket) };
    const recordLeave = () => {
      reported.leftAt = clock.monotonic();
    };
    caller.signal.addEventListener('abort', recordLeave, { once: true });
    try {
      const request = await admit(message, caller, reported);
      const result = await options.run(request);
      const { refusal } = result;
      const isUnanswered = refusal && !caller.hasSentHead() && !caller.signal.aborted;
      const status = isUnanswered ? sendRefusal(caller, refusal) : result.status;
      options.report(reported, { ...result, status });
    } catch (error) {
      const refusal = toRefusal(error);
      if (refusal.code === ResultCode.slowCaller) response.shouldKeepAlive = false;
      const hasCallerLeft = caller.signal.aborted;
      if (caller.hasSentHead()) caller.abort();
      const status = hasCallerLeft || caller.hasSentHead() ? 0 : sendRefusal(caller, refusal);
      const outcome = hasCallerLeft ? 'callerLeft' : 'refused';
      options.report(reported, { outcome, status, refusal, sends: [] });
    } finally {
      reported.releaseBody?.();
    }
  };

  const server = createServer({ maxHeaderSize: maxHeaderBytes }, (message, response) => {
    void serve(message, response);
  });
  // Each pipelined request listens for the end of its connection.
  server.on('connection', (socket) => {
    socket.setMaxListeners(0);
    connections.set(socket, options.estimateArrival());
  });
  server.keepAliveTimeout = initialIdleTimeoutMs;
  server.requestTimeout = 0;
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (!socket.writable) return;
    socket.end(error.code === 'HPE_HEADER_OVERFLOW' ? headersTooLargeResponse : malformedResponse);
  });
  /** Applies the limits of the configuration in force and serves the requests that waited for it. */
  const updateTable = ({ config }: RouteTable): void => {
    const { idleTimeoutMs, headerTimeoutMs } = config.bounds;
    server.keepAliveTimeout = Math.ceil(idleTimeoutMs * idleTimeoutFactor);
    server.headersTimeout = headerTimeoutMs;
    held.release();
  };
  return Object.assign(server, { updateTable });
}

/**
 * Share of the route's target response time (`objectiveMs`) for which a body waits for memory before
 * its request is refused.
 */
const bodyWaitShare = 0.5;
/** Retry time for callers of a daemon that stops; the others can serve them at once. */
const stoppingRetryMs = 10;
