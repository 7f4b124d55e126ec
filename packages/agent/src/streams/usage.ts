/**
 * Size of a request's prompt in tokens, and how many of them the engine had in its cache; from the
 * `usage` object of an OpenAI-compatible answer.
 */
export interface Usage {
  promptTokens: number;
  cachedTokens: number;
}
