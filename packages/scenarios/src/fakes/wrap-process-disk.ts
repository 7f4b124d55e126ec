import type { Clock, Disk } from '@vanillarelay/core';
import type { VirtualProcess } from './virtual-process.js';

interface ProcessDiskOptions {
  process: VirtualProcess;
  disk: Disk;
  /** Duration of one sync, in milliseconds. */
  syncMs?: number;
}

/**
 * Wraps a disk for one virtual process: operations wait while the process is frozen and never run
 * once it is killed, and syncs take time.
 */
export function wrapProcessDisk({ process, disk, syncMs = 1 }: ProcessDiskOptions): Disk {
  const { clock }: { clock: Clock } = process;
  const wrap =
    <Args extends unknown[], T>(run: (...args: Args) => Promise<T>, waitMs = 0) =>
    async (...args: Args): Promise<T> => {
      if (waitMs > 0) await clock.wait(waitMs);
      await process.waitUntilRunning();
      return run(...args);
    };
  return {
    read: wrap((name: string) => disk.read(name)),
    append: wrap((name: string, bytes: Uint8Array) => disk.append(name, bytes)),
    write: wrap((name: string, bytes: Uint8Array) => disk.write(name, bytes)),
    truncate: wrap((name: string, length: number) => disk.truncate(name, length)),
    sync: wrap((name: string) => disk.sync(name), syncMs),
    rename: wrap((from: string, to: string) => disk.rename(from, to)),
    syncFolder: wrap(() => disk.syncFolder(), syncMs),
    remove: wrap((name: string) => disk.remove(name)),
    list: wrap(() => disk.list()),
    close: wrap(() => disk.close()),
  };
}
