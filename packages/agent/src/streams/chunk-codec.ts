import type { RelayError } from '@vanillarelay/core';

/** Turns the chunks of an endpoint's body into the numbered chunks that the reader gets. */
export interface ChunkCodec {
  /** The output chunks completed by an input chunk; `sequence` is the number of the first. */
  push(chunk: Uint8Array, sequence: number): Uint8Array[];
  /** The error of a body that ended here, if it ended too early. */
  checkEnd(): RelayError | undefined;
  /** A last output chunk that reports an error, where the format has one. */
  encodeError(error: RelayError, sequence: number): Uint8Array | undefined;
}
