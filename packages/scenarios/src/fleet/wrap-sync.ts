import type { Disk } from '@vanillarelay/core';

/** A disk whose syncs return at once without making anything durable. */
export function wrapSync(disk: Disk): Disk {
  return { ...disk, sync: async () => {} };
}
