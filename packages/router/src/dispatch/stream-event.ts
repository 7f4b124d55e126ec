/** A complete event of a stream. */
export interface StreamEvent {
  bytes: Buffer;
  id?: string;
}
