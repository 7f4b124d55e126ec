import {
  ResultCode,
  toRefusal,
  type AgentClient,
  type AttemptId,
  type Clock,
  type DispatchRequest,
  type Hlc,
  type Member,
  type Refusal,
} from '@vanillarelay/core';
import type { ParsedRequest } from '../requests/parsed-request.js';
import type { createFlights } from './create-flights.js';
import type { Dispatched } from './dispatched.js';

interface DispatcherOptions {
  clock: Clock;
  hlc: Hlc;
  flights: ReturnType<typeof createFlights>;
  openAgent: (address: string) => AgentClient;
  readStateVersion: () => number;
  /** Fetches the state when an agent runs at a newer version. */
  receiveVersion: (version: number) => Promise<boolean>;
}

interface Attempt {
  request: ParsedRequest;
  attemptId: AttemptId;
  member: Member;
  takeOver: boolean;
  /** How long the request may wait for room at the agent; undefined leaves it to the agent. */
  patienceMs: number | undefined;
  remainingMs: number;
}

/** Makes the function that runs one attempt, until its answer begins or its agent is lost. */
export function createDispatcher(options: DispatcherOptions) {
  const { clock, hlc, flights, openAgent, readStateVersion, receiveVersion } = options;

  return async function dispatch(attempt: Attempt, signal: AbortSignal): Promise<Dispatched> {
    const { member, remainingMs } = attempt;
    const controller = new AbortController();
    let cause: Refusal | undefined;
    const abort = (code: ResultCode, message: string) => {
      cause ??= { code, message, notRun: false };
      controller.abort();
    };
    const cancel = () => abort(ResultCode.cancelled, 'the caller closed the connection');
    const flight = {
      member,
      startedAt: clock.monotonic(),
      seenAt: clock.monotonic(),
      abort: () => abort(ResultCode.connectionFailed, `lost contact with ${member.id}`),
    };
    const cancelTimer = clock.startTimer(remainingMs, () =>
      abort(ResultCode.deadlineExceeded, 'no answer before the deadline'),
    );
    const release = () => {
      flights.remove(flight);
      signal.removeEventListener('abort', cancel);
    };
    signal.addEventListener('abort', cancel, { once: true });
    flights.add(flight);
    try {
      const version = readStateVersion();
      const message = buildMessage(attempt, version, hlc);
      const reply = await openAgent(member.address).dispatch(message, controller.signal);
      hlc.receive(reply.at);
      if (reply.stateVersion > version) void receiveVersion(reply.stateVersion);
      if (reply.type === 'answer') return { type: 'answer', reply, flight };
      release();
      return { type: 'refusal', refusal: reply.refusal, isContactLost: false };
    } catch (error) {
      release();
      return { type: 'refusal', refusal: cause ?? toRefusal(error), isContactLost: true };
    } finally {
      cancelTimer();
    }
  };
}

function buildMessage(attempt: Attempt, stateVersion: number, hlc: Hlc): DispatchRequest {
  const { request, attemptId, takeOver, patienceMs, remainingMs } = attempt;
  const { deadlineMs, isCompletion, ...same } = request;
  return {
    ...same,
    attemptId,
    takeOver,
    ...(patienceMs === undefined ? {} : { patienceMs }),
    remainingMs: Math.ceil(remainingMs),
    stateVersion,
    at: hlc.read(),
  };
}
