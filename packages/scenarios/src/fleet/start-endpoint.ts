import type { EndpointClient } from '@vanillarelay/core';
import type { VirtualProcess } from '../fakes/virtual-process.js';
import type { FleetContext } from './fleet-context.js';

/** Starts the endpoint of an agent, or restarts it after a kill. */
export function startEndpoint(
  { virtual, endpoints }: FleetContext,
  id: string,
  createEndpoint: (process: VirtualProcess) => EndpointClient,
): void {
  const process = virtual.createProcess(`endpoint-${id}`);
  endpoints.set(id, { process, handlers: createEndpoint(process) });
}
