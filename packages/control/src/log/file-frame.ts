/** One frame, a record in a file; header and payload each have a checksum. */
export interface FileFrame {
  kind: number;
  term: number;
  index: number;
  payload: Uint8Array;
}
