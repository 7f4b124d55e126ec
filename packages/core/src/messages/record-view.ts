/** The record of a non-idempotent request in the log; returned with a refused claim. */
export interface RecordView {
  /**
   * `running`: claimed, no answer yet. `done`: the answer is stored. `unkept`: it has run, but its
   * answer was too large or is too old. `unknown`: it may have run, and this will never be known.
   */
  status: 'running' | 'done' | 'unkept' | 'unknown';
  bodyHash: string;
  endpoint?: string;
  incarnation?: number;
  answer?: { status: number; contentType: string; body: string };
}
