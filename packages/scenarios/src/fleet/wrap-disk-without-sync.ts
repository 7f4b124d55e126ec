import type { Disk } from '@vanillarelay/core';

/** Wraps a disk so that file syncs return at once and make nothing durable. */
export function wrapDiskWithoutSync(disk: Disk): Disk {
  return { ...disk, sync: async () => {} };
}
