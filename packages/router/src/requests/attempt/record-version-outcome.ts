import type { EndpointRecord } from '@vanillarelay/routing';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import type { AttemptOutcome } from './attempt-outcome.js';

const firstServerErrorStatus = 500;

/** Records what the outcome of an attempt says about the version that the endpoint runs. */
export function recordVersionOutcome(
  { rollouts, stopSignal }: Pick<RouterContext, 'rollouts' | 'stopSignal'>,
  { route, caller }: Pick<RoutedRequest, 'route' | 'caller'>,
  { service, affinityKey }: Pick<RunState, 'service' | 'affinityKey'>,
  { id, version }: EndpointRecord,
  outcome: AttemptOutcome,
  /** Time to the first byte or event; undefined when there was none. */
  answerMs: number | undefined,
): void {
  // An endpoint that is full or cannot be reached says nothing of its version.
  if (!rollouts || outcome.type === 'notRun') return;
  const isCancelled = outcome.type === 'cancelled';
  const isOfOthers = caller.signal.aborted || stopSignal.aborted || answerMs !== undefined;
  if (isCancelled && isOfOthers) return;
  const isBad = outcome.type !== 'answered' || outcome.status >= firstServerErrorStatus;
  rollouts.recordOutcome({
    ...{ service, route: route.name, endpoint: id, version, isBad },
    ...(answerMs === undefined ? {} : { ms: answerMs }),
    ...(affinityKey === undefined ? {} : { promptKey: affinityKey }),
  });
}
