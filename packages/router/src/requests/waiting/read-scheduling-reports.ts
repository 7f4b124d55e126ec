import type { EndpointId } from '@vanillarelay/core';
import type { Observations } from '@vanillarelay/fleet';
import type { RouteTable } from '@vanillarelay/routing';
import type { RouterContext } from '../router-context.js';

/** What waits and what engines hold, for the other daemons; without either there is nothing. */
export function readSchedulingReports(
  {
    queues,
    shares,
    engineMemory,
    endpoints,
    loads,
  }: Pick<RouterContext, 'queues' | 'shares' | 'engineMemory' | 'endpoints' | 'loads'>,
  table: RouteTable | undefined,
): Pick<Observations, 'demand' | 'heldTokens'> {
  const findMemory = (id: EndpointId): number | undefined => {
    const service = endpoints.find(id)?.record.service;
    return service === undefined ? undefined : table?.findService(service)?.engineMemoryTokens;
  };
  const findRemoteLoad = (id: EndpointId): number => loads.estimate(id) - loads.readOwn(id);
  const demand = shares.readLocal(queues.countGroups());
  const heldTokens = engineMemory.readLocal(findMemory, findRemoteLoad);
  return {
    ...(Object.keys(demand).length === 0 ? {} : { demand }),
    ...(Object.keys(heldTokens).length === 0 ? {} : { heldTokens }),
  };
}
