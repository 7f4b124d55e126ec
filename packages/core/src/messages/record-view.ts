/** What is known of a non-idempotent request; the value of a refused claim. */
export interface RecordView {
  /**
   * `running`: claimed, no answer yet. `done`: the answer is kept. `unkept`: it ran, its answer is
   * too large or too old. `unknown`: it may have run, and nobody will ever know more.
   */
  status: 'running' | 'done' | 'unkept' | 'unknown';
  bodyHash: string;
  endpoint?: string;
  incarnation?: number;
  answer?: { status: number; contentType: string; body: string };
}
