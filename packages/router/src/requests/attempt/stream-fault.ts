/** Bytes of an answer that are not the next event of its stream. */
export interface StreamFault {
  reason: string;
  bytes: Buffer;
}
