import type { EndpointId } from '@vanillarelay/core';
import type { FleetState } from './fleet-state.js';

/** Records an agent's incarnation; running claims of earlier ones have an unknown outcome. */
export function updateIncarnation(
  { incarnations }: FleetState,
  endpoint: EndpointId,
  incarnation: number,
): void {
  if (incarnation > (incarnations.get(endpoint) ?? 0)) incarnations.set(endpoint, incarnation);
}
