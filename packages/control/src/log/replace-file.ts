import type { Disk } from '@vanillarelay/core';

/**
 * Replaces a file atomically: a crash leaves either the old content or the new one. Chunks are
 * written one by one, so that building a large file blocks the process for one chunk at a time.
 */
export async function replaceFile(
  disk: Disk,
  name: string,
  chunks: Iterable<Uint8Array>,
): Promise<void> {
  const temporaryName = `${name}.new`;
  await disk.write(temporaryName, new Uint8Array());
  for (const chunk of chunks) await disk.append(temporaryName, chunk);
  await disk.sync(temporaryName);
  await disk.rename(temporaryName, name);
  await disk.syncFolder();
}
