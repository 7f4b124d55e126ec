import { toId, type CrashId } from '@vanillarelay/core';
import type { EndpointRecord } from '@vanillarelay/routing';
import type { AttemptOutcome } from './attempt-outcome.js';
import { isLost } from './is-lost.js';
import { readContentSuspect } from './read-content-suspect.js';
import type { RoutedRequest } from './routed-request.js';
import type { RouterContext } from './router-context.js';
import type { RunState } from './run-state.js';

const idRadix = 36;

/**
 * Records a possible crash when the connection to the endpoint was lost before the answer to the
 * request had begun. An answer that begins clears the parts of the prompt, a complete one the content
 * of the request. Each loss of the same content counts, but of a part, which many requests share, only
 * one loss per process of an endpoint: a process that resets connections has not crashed.
 */
export function recordCrash(
  { crashes, hash, clock }: RouterContext,
  request: RoutedRequest,
  state: RunState,
  { id, bornAt }: EndpointRecord,
  outcome: AttemptOutcome,
): void {
  const buildId = (text: string) => toId<CrashId>(hash(text).toString(idRadix));
  const hasStarted = state.progress.events > 0;
  if (isLost(outcome) && !hasStarted) {
    const content = readContentSuspect(request, state);
    crashes.recordCrash([content], buildId(`${id} ${bornAt} ${clock.monotonic()}`));
    crashes.recordCrash(state.partSuspects, buildId(`${id} ${bornAt}`));
  } else if (outcome.type === 'answered') {
    crashes.recordStart(state.partSuspects);
    if (!crashes.isEmpty()) crashes.clear(readContentSuspect(request, state));
  }
}
