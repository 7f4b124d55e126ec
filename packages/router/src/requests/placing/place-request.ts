import type { EndpointId } from '@vanillarelay/core';
import { chooseEndpoint, type Candidate, type PlacementRequest } from '@vanillarelay/routing';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { buildWorkRequest } from './build-work-request.js';
import type { Expectation } from './expectation.js';

interface Placement {
  id: EndpointId;
  reason: string;
  /** Absent for services that are not placed by expected cost. */
  expectation?: Expectation;
}

/**
 * Places a request at one of the open endpoints: by its expected cost if the endpoints of the service
 * report how long work takes there, otherwise by load. Returns undefined when there is none.
 */
export function placeRequest(
  context: RouterContext,
  request: RoutedRequest,
  { service, tried, affinityKey }: Pick<RunState, 'service' | 'tried' | 'affinityKey'>,
  open: readonly Candidate[],
  meanLoad: number,
): Placement | undefined {
  const { clock, hash, random, dataCentre, workPlacement, endpoints } = context;
  const properties: PlacementRequest = {
    ...{ tried, meanLoad, ...(affinityKey === undefined ? {} : { affinityKey }) },
  };
  if (!workPlacement.isEnabled(service))
    return chooseEndpoint(open, properties, { hash, random, dataCentre });
  const triedDataCentres = new Set(
    [...tried].flatMap((id) => endpoints.find(id)?.record.dataCentre ?? []),
  );
  const ageMs = clock.monotonic() - request.startedAt;
  const objectiveLeftMs = request.route.objectiveMs - ageMs;
  return workPlacement.choose(
    open,
    { ...properties, objectiveLeftMs, triedDataCentres },
    buildWorkRequest(request, service),
  );
}
