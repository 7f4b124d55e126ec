import type { RelayError } from '@vanillarelay/core';

/**
 * Converts the chunks of an endpoint's body to those that the entry reads. They are numbered in
 * sequence, so that a resumable stream can continue after any of them.
 */
export interface ChunkCodec {
  /** Returns the output chunks that the input completes; `sequence` is the number of the first. */
  push(chunk: Uint8Array, sequence: number): Uint8Array[];
  /** Called at the end of the body; returns an error if it ended too early. */
  checkEnd(): RelayError | undefined;
  /** Returns a last chunk that reports an error; undefined if the format cannot report one. */
  encodeError(error: RelayError, sequence: number): Uint8Array | undefined;
}
