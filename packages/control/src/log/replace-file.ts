import type { Disk } from '@vanillarelay/core';
import { toTemporaryName } from './to-temporary-name.js';

/**
 * Replaces a file atomically: a crash leaves either the old content or the new one. Chunks are
 * written one by one, so that building a large file blocks the process for one chunk at a time.
 * A failure leaves no part behind, since that may be what fills the disk.
 */
export async function replaceFile(
  disk: Disk,
  name: string,
  chunks: Iterable<Uint8Array>,
): Promise<void> {
  const temporaryName = toTemporaryName(name);
  try {
    await disk.write(temporaryName, new Uint8Array());
    for (const chunk of chunks) await disk.append(temporaryName, chunk);
    await disk.sync(temporaryName);
    await disk.rename(temporaryName, name);
  } catch (error) {
    await disk.remove(temporaryName).catch(() => {});
    throw error;
  }
  await disk.syncFolder();
}
