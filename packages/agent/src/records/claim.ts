import type { RecordView } from '@vanillarelay/core';

/** A granted claim; one of its methods is called exactly once. */
interface GrantedClaim {
  granted: true;
  complete(answer: { status: number; contentType: string; body?: Uint8Array }): Promise<void>;
  /** Resolves when this is in the log; `ran` is false only if the endpoint received nothing. */
  abandon(ran: boolean): Promise<void>;
}

/** The result of a claim: the right to run the request, or the record of an earlier run. */
export type Claim = GrantedClaim | { granted: false; record: RecordView };
