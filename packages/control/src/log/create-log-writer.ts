import type { Disk } from '@vanillarelay/core';
import { FileName } from './file-name.js';
import { replaceFile } from './replace-file.js';

interface LogWriterOptions {
  disk: Disk;
  /** Called once, with the first failure; nothing is written after it. */
  reportFailure: (error: Error) => void;
}

interface Batch {
  bytes: Uint8Array[];
  promise: Promise<void>;
  resolve: () => void;
  reject: (error: Error) => void;
}

/** Creates the only writer of the log file; bytes that arrive during a sync share the next sync. */
export function createLogWriter({ disk, reportFailure }: LogWriterOptions) {
  let waiting: Batch | undefined;
  let writing: Batch | undefined;
  let buildReplacement: (() => Uint8Array) | undefined;
  let failure: Error | undefined;
  /** The loop that writes the batches; undefined while there is nothing to write. */
  let running: Promise<void> | undefined;

  const run = async (): Promise<void> => {
    while (waiting && !failure) {
      // Lets all calls made in the same turn of the event loop join the batch.
      await Promise.resolve();
      if (failure) break;
      const batch = waiting;
      writing = batch;
      waiting = undefined;
      try {
        await writeBatch(batch);
        batch.resolve();
      } catch (error) {
        batch.reject(error as Error);
        fail(error as Error);
      }
      writing = undefined;
    }
    running = undefined;
  };

  const writeBatch = async ({ bytes }: Batch): Promise<void> => {
    const build = buildReplacement;
    buildReplacement = undefined;
    if (build) {
      // The file is built from memory, which includes the content of this batch.
      await replaceFile(disk, FileName.log, [build()]);
      return;
    }
    await disk.append(FileName.log, Buffer.concat(bytes));
    await disk.sync(FileName.log);
  };

  const refuseAll = (error: Error): void => {
    failure = error;
    waiting?.reject(error);
  };

  const fail = (error: Error): void => {
    if (failure) return;
    refuseAll(error);
    reportFailure(error);
  };

  const push = (bytes: Uint8Array): Promise<void> => {
    if (failure) return Promise.reject(failure);
    waiting ??= createBatch();
    waiting.bytes.push(bytes);
    const { promise } = waiting;
    running ??= run();
    return promise;
  };

  return {
    push,
    /** Ends the writer after a failure elsewhere on the disk. */
    fail,
    /** Refuses all that was not begun; resolves when nothing is being written any more. */
    close: async (): Promise<void> => {
      if (!failure) refuseAll(new Error('the log is closed'));
      await running;
    },
    /** Resolves when everything pushed so far is durable. */
    sync: (): Promise<void> => {
      if (failure) return Promise.reject(failure);
      return (waiting ?? writing)?.promise ?? Promise.resolve();
    },
    /** Replaces the file instead of appending the next batch to it. */
    rewrite: (build: () => Uint8Array): Promise<void> => {
      buildReplacement = build;
      return push(new Uint8Array());
    },
  };
}

function createBatch(): Batch {
  const batch = { bytes: [] } as Partial<Batch>;
  batch.promise = new Promise<void>((resolve, reject) => {
    Object.assign(batch, { resolve, reject });
  });
  // Not every caller awaits this promise; failures are reported by `reportFailure` as well.
  batch.promise.catch(() => {});
  return batch as Batch;
}
