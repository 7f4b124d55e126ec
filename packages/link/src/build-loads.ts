import type { EndpointId, Frame, Member } from '@vanillarelay/core';

/** Decodes the number of running requests of each member from the load vectors of a frame. */
export function buildLoads(
  members: ReadonlyMap<EndpointId, Member>,
  slots: ReadonlyMap<EndpointId, number>,
  vectors: Frame['loads'],
): Map<EndpointId, number> {
  const bytes = new Map(
    Object.entries(vectors).map(([service, text]) => [service, Buffer.from(text, 'base64')]),
  );
  const loads = new Map<EndpointId, number>();
  members.forEach(({ service }, id) => {
    loads.set(id, bytes.get(service)?.[slots.get(id) ?? 0] ?? 0);
  });
  return loads;
}
