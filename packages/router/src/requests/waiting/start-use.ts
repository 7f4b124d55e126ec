import type { EndpointId } from '@vanillarelay/core';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { buildDemandGroup } from './build-demand-group.js';
import { isScheduled } from './is-scheduled.js';

/**
 * Records that a request takes a place and memory at an endpoint; returns a function that records
 * its end and offers the place to the requests that wait.
 */
export function startUse(
  context: RouterContext,
  request: RoutedRequest,
  { service, memoryNeed }: RunState,
  id: EndpointId,
): (hasRun: boolean) => void {
  if (!isScheduled(context)) return () => {};
  const { queues, shares, engineMemory } = context;
  const group = buildDemandGroup(request);
  shares.start(service, group);
  if (memoryNeed) engineMemory.start(id, memoryNeed);
  return (hasRun) => {
    shares.stop(service, group);
    if (memoryNeed) engineMemory.stop(id, memoryNeed);
    // A refusal of the endpoint says nothing of how often a place becomes free.
    if (hasRun) queues.find(service).recordEnd();
    else queues.find(service).wake();
  };
}
