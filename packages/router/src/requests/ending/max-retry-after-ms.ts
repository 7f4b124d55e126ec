/** Longest time that a refusal names, in milliseconds. */
export const maxRetryAfterMs = 1_000;
