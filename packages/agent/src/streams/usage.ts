/** Prompt tokens of an answer, as OpenAI's `usage` object tells them. */
export interface Usage {
  promptTokens: number;
  cachedTokens: number;
}
