import type { RelayError } from '@vanillarelay/core';

/** Turns an endpoint's body into the numbered pieces that are passed on. */
export interface ChunkCodec {
  /** The pieces completed by a chunk; `sequence` is the number of the first. */
  push(chunk: Uint8Array, sequence: number): Uint8Array[];
  /** The error of a body that ended here, if it ended too early. */
  checkEnd(): RelayError | undefined;
  /** A last piece that tells of an error, where the format has one. */
  encodeError(error: RelayError, sequence: number): Uint8Array | undefined;
}
