import type { AccountId } from '@vanillarelay/core';

/** A caller's HTTP request with its complete body. */
export interface CallerRequest {
  method: string;
  /** Path with query string. */
  path: string;
  /** Header names are in lower case. */
  headers: Record<string, string>;
  body: Uint8Array;
  /** Account of the caller's API key, if the key was verified before the body was read. */
  account?: AccountId;
}
