import { toId, type CrashId } from '@vanillarelay/core';
import type { EndpointRecord } from '@vanillarelay/routing';
import type { AttemptOutcome } from '../attempt/attempt-outcome.js';
import { isLost } from '../attempt/is-lost.js';
import { readContentSuspect } from './read-content-suspect.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';

const idRadix = 36;

interface SentRun {
  /** Monotonic time at which it was sent. */
  sentAt: number;
  /** Events that earlier runs of the request had sent. */
  eventsBefore: number;
}

/**
 * Records a possible crash when the connection to the endpoint was lost. The content of the request is
 * suspected at any point of its run, the parts of its prompt only before the answer had begun. An
 * answer that begins clears the parts, a complete one the content. Of a part, which many requests
 * share, only one loss per process of an endpoint counts: a process that resets connections has not
 * crashed.
 */
export function recordCrash(
  { crashes, hash }: RouterContext,
  request: RoutedRequest,
  state: RunState,
  { id, bornAt }: EndpointRecord,
  outcome: AttemptOutcome,
  run: SentRun,
): void {
  if (isLost(outcome)) {
    const endpointProcess = hash(`${id} ${bornAt}`).toString(idRadix);
    crashes.recordLostRun(readContentSuspect(request, state), {
      ...{ endpointProcess, sentAt: run.sentAt },
      events: state.progress.events - run.eventsBefore,
    });
    const hasStarted = state.progress.events > 0;
    if (!hasStarted) crashes.recordCrash(state.partSuspects, toId<CrashId>(endpointProcess));
  } else if (outcome.type === 'answered') {
    crashes.recordStart(state.partSuspects);
    if (!crashes.isEmpty()) crashes.clear(readContentSuspect(request, state));
  }
}
