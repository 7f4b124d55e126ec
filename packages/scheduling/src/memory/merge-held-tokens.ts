import type { EndpointId } from '@vanillarelay/core';
import type { HeldTokens } from './held-tokens.js';

/** Sums the tokens that requests of several routers hold. */
export function mergeHeldTokens(parts: readonly HeldTokens[]): HeldTokens {
  const sum: HeldTokens = {};
  parts.forEach((reports) => {
    Object.entries(reports).forEach(([key, tokens]) => {
      const id = key as EndpointId;
      sum[id] = (sum[id] ?? 0) + tokens;
    });
  });
  return sum;
}
