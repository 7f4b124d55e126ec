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
import type { createInFlightCalls } from './create-in-flight-calls.js';
import type { DispatchOutcome } from './dispatch-outcome.js';

interface DispatcherOptions {
  clock: Clock;
  hlc: Hlc;
  inFlightCalls: ReturnType<typeof createInFlightCalls>;
  openAgent: (address: string) => AgentClient;
  readStateVersion: () => number;
  /** Fetches the state when an agent has replied with a newer version. */
  receiveVersion: (version: number) => Promise<boolean>;
}

interface Attempt {
  request: ParsedRequest;
  attemptId: AttemptId;
  member: Member;
  takeOver: boolean;
  /** How long the request may queue at the agent; if undefined, the agent decides. */
  patienceMs: number | undefined;
  remainingMs: number;
}

/** Creates the function that sends an attempt and waits until it is answered, refused or lost. */
export function createDispatcher(options: DispatcherOptions) {
  const { clock, hlc, inFlightCalls, openAgent, readStateVersion, receiveVersion } = options;

  return async function dispatch(attempt: Attempt, signal: AbortSignal): Promise<DispatchOutcome> {
    const { member, remainingMs } = attempt;
    const controller = new AbortController();
    let cause: Refusal | undefined;
    const abort = (code: ResultCode, message: string) => {
      cause ??= { code, message, notRun: false };
      controller.abort();
    };
    const cancel = () => abort(ResultCode.cancelled, 'the caller closed the connection');
    const call = {
      member,
      startedAt: clock.monotonic(),
      seenAt: clock.monotonic(),
      abort: () => abort(ResultCode.connectionFailed, `lost contact with ${member.id}`),
    };
    const cancelTimer = clock.startTimer(remainingMs, () =>
      abort(ResultCode.deadlineExceeded, 'no answer before the deadline'),
    );
    const release = () => {
      inFlightCalls.remove(call);
      signal.removeEventListener('abort', cancel);
    };
    signal.addEventListener('abort', cancel, { once: true });
    inFlightCalls.add(call);
    try {
      const version = readStateVersion();
      const message = buildMessage(attempt, version, hlc);
      const reply = await openAgent(member.address).dispatch(message, controller.signal);
      hlc.receive(reply.at);
      if (reply.stateVersion > version) void receiveVersion(reply.stateVersion);
      if (reply.type === 'answer') return { type: 'answer', reply, call };
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
  const { deadlineMs, isCompletion, ...common } = request;
  return {
    ...common,
    attemptId,
    takeOver,
    ...(patienceMs === undefined ? {} : { patienceMs }),
    remainingMs: Math.ceil(remainingMs),
    stateVersion,
    at: hlc.read(),
  };
}
