import type { AccountId } from '@vanillarelay/core';

/** A caller's HTTP request, read whole. */
export interface CallerRequest {
  method: string;
  /** Path with query. */
  path: string;
  /** Names in lower case. */
  headers: Record<string, string>;
  body: Uint8Array;
  /** Set when the bearer key was checked before the body was read. */
  account?: AccountId;
}
