/** One frame of a file: a checked header and a checked payload. */
export interface FileFrame {
  kind: number;
  term: number;
  index: number;
  payload: Uint8Array;
}
