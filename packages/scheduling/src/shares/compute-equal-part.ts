import { sortByRendezvous, type DaemonId, type EndpointId, type Hash } from '@vanillarelay/core';

interface EqualPartInput {
  hash: Hash;
  endpoint: EndpointId;
  /** Requests that the endpoint may hold. */
  places: number;
  self: DaemonId;
  routers: readonly DaemonId[];
}

/**
 * Part of an endpoint's places that a router may use without knowing of the others. The parts of all
 * routers add up to the places; which of them get one of the remaining places depends on the endpoint.
 */
export function computeEqualPart(input: EqualPartInput): number {
  const { hash, endpoint, places, self, routers } = input;
  const count = Math.max(1, routers.length);
  const whole = Math.floor(places / count);
  const remainder = Math.floor(places) - whole * count;
  if (remainder === 0) return whole;
  const first = sortByRendezvous(hash, endpoint, routers).slice(0, remainder);
  return whole + (first.includes(self) ? 1 : 0);
}
