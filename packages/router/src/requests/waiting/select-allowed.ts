import type { CandidateList } from '../placing/candidate-list.js';
import { maxRequestsPerSlot } from '../placing/max-requests-per-slot.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { buildDemandGroup } from './build-demand-group.js';
import { findUrgency } from './find-urgency.js';
import type { HoldReason } from './hold-reason.js';

/**
 * Part of a service's places; with fewer of them free, routers keep to their shares. All slots are in
 * use then, and what is sent waits at an endpoint instead of here.
 */
const scarceShare = 0.5;

/**
 * Selects the endpoints that a request may take: none of the last places, which are reserved for
 * more urgent requests, and while places are scarce none beyond this router's share.
 */
export function selectAllowed(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  candidates: CandidateList,
): CandidateList['open'] {
  const { open, passedOver } = candidates;
  const { isAllowed, reason } = findRule(context, request, state, candidates);
  const allowed = open.filter(isAllowed);
  const heldBack = open.length - allowed.length;
  if (heldBack > 0) passedOver[reason] = heldBack;
  if (heldBack > 0) state.heldBackBy = reason;
  else if ((passedOver.memory ?? 0) > 0) state.heldBackBy = 'memory';
  else delete state.heldBackBy;
  if (state.heldBackBy) context.queues.find(state.service).recordHold(state.heldBackBy);
  state.passedOver = passedOver;
  return allowed;
}

interface Rule {
  isAllowed: (endpoint: CandidateList['open'][number]) => boolean;
  reason: Exclude<HoldReason, 'memory'>;
}

function findRule(
  context: RouterContext,
  request: RoutedRequest,
  { service }: RunState,
  { places, load, freePlaces }: CandidateList,
): Rule {
  const { clock, queues, shares, placeLimits, loads } = context;
  const now = clock.monotonic();
  const queue = queues.find(service);
  const reserved = queue.computeReserve(findUrgency(request), places);
  if (freePlaces <= reserved) return { isAllowed: () => false, reason: 'reserved' };
  if (freePlaces >= places * scarceShare) return { isAllowed: () => true, reason: 'share' };
  const isOutdated = shares.isOutdated(now);
  const group = buildDemandGroup(request);
  const waiting = queue.countGroups();
  const hasShare = isOutdated || shares.mayTake({ service, group, waiting, places, load });
  const isAllowed: Rule['isAllowed'] = (endpoint) =>
    hasShare &&
    placeLimits.mayTake(
      {
        endpoint: endpoint.id,
        places: endpoint.slots * maxRequestsPerSlot,
        load: endpoint.load,
        own: loads.readOwn(endpoint.id),
      },
      isOutdated,
    );
  return { isAllowed, reason: 'share' };
}
