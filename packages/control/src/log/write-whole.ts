import type { Disk } from '@vanillarelay/core';

/** Writes a file so that a crash leaves either the old content or the new one. */
export async function writeWhole(disk: Disk, name: string, bytes: Uint8Array): Promise<void> {
  const draft = `${name}.new`;
  await disk.write(draft, bytes);
  await disk.sync(draft);
  await disk.rename(draft, name);
  await disk.syncFolder();
}
