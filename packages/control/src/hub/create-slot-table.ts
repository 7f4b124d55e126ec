import type { EndpointId, ServiceId } from '@vanillarelay/core';

/** Creates the positions of endpoints in the load vectors of services; free ones are reused. */
export function createSlotTable() {
  const services = new Map<ServiceId, (EndpointId | undefined)[]>();

  return {
    add(service: ServiceId, id: EndpointId): number {
      const slots = services.get(service) ?? [];
      services.set(service, slots);
      const free = slots.indexOf(undefined);
      const slot = free < 0 ? slots.length : free;
      slots[slot] = id;
      return slot;
    },
    remove(service: ServiceId, slot: number): void {
      const slots = services.get(service) ?? [];
      slots[slot] = undefined;
      while (slots.length > 0 && slots.at(-1) === undefined) slots.pop();
      if (slots.length === 0) services.delete(service);
    },
    /** One number for each slot of a service; 0 for free ones. */
    buildVectors(readLoad: (id: EndpointId) => number): Map<ServiceId, Uint8Array> {
      return new Map(
        [...services].map(([service, slots]) => [
          service,
          Uint8Array.from(slots, (id) => (id === undefined ? 0 : readLoad(id))),
        ]),
      );
    },
  };
}
