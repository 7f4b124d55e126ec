/** Prompt tokens that count as much as a small request. */
const tokensPerUnit = 1_000;

/**
 * Work of a request, in units of a small request. Of a prompt only the part of its own counts; the
 * parts before it are shared with other requests, and engines keep them.
 */
export function computeRequestWork(promptParts: readonly { tokens: number }[]): number {
  return 1 + (promptParts.at(-1)?.tokens ?? 0) / tokensPerUnit;
}
