import type { EndpointId, ServiceId } from '@vanillarelay/core';

/** Creates the table of slots: each endpoint's position in its service's load vector. */
export function createSlotTable() {
  const services = new Map<ServiceId, (EndpointId | undefined)[]>();

  return {
    add(service: ServiceId, id: EndpointId): number {
      const slots = services.get(service) ?? [];
      services.set(service, slots);
      // Freed slots are reused.
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
    /** Load vectors by service: the load of each slot, 0 for free slots. */
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
