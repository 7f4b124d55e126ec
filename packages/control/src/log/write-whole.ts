import type { Disk } from '@vanillarelay/core';

/**
 * Writes a file so that a crash leaves either the old content or the new one. Pieces are written one
 * by one, so that making a large file holds the process up for one piece at a time.
 */
export async function writeWhole(
  disk: Disk,
  name: string,
  pieces: Iterable<Uint8Array>,
): Promise<void> {
  const draft = `${name}.new`;
  await disk.write(draft, new Uint8Array());
  for (const piece of pieces) await disk.append(draft, piece);
  await disk.sync(draft);
  await disk.rename(draft, name);
  await disk.syncFolder();
}
