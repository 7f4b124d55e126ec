/** Record of one non-idempotent request in the replicated state. */
export interface RequestRecord {
  /** `open`: the request neither runs nor ran; kept because attempts or nonces were closed. */
  status: 'open' | 'running' | 'done' | 'unkept' | 'unknown';
  /** Time of the last change of the status. */
  at: number;
  bodyHash?: string;
  endpoint?: string;
  incarnation?: number;
  nonce?: string;
  attemptId?: string;
  answer?: { status: number; contentType: string; body: string };
  /** Attempts whose claims are refused. */
  voided?: string[];
  /** Nonces whose claims were refused or released, so that a repeated claim is refused again. */
  closedNonces?: string[];
}
