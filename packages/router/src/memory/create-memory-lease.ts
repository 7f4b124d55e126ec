import type { MemoryPart } from './memory-part.js';

/** Creates the hold of one request on a part of the memory budget, which is released as a whole. */
export function createMemoryLease(part: MemoryPart) {
  let heldBytes = 0;
  let isReleased = false;

  const record = (bytes: number): boolean => {
    if (isReleased) {
      part.release(bytes);
      return false;
    }
    heldBytes += bytes;
    return true;
  };

  return {
    take: (bytes: number): boolean => !isReleased && part.take(bytes) && record(bytes),
    waitToTake: async (bytes: number, signal: AbortSignal): Promise<boolean> =>
      (await part.waitToTake(bytes, signal)) && record(bytes),
    release: (): void => {
      if (isReleased) return;
      isReleased = true;
      part.release(heldBytes);
    },
  };
}
