/** What a caller may send, and how slowly. */
export interface CallerBounds {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}
