import type { ServiceId } from '@vanillarelay/core';

/** The properties of a request from which its work is estimated. */
export interface WorkRequest {
  service: ServiceId;
  route: string;
  /** Parts of the prompt in their order; all but the last are shared with other requests. */
  promptParts: readonly { id: string; tokens: number }[];
  /** Number of tokens in the prompt; 0 when unknown. */
  promptTokens: number;
  /** Maximum number of tokens in the answer, if the caller sets one. */
  maxOutputTokens?: number;
  /** The caller's estimate of the tokens in the answer, which is often far off. */
  outputTokensHint?: number;
}
