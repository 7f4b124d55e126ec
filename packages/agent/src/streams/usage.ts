/** Prompt tokens of an answer, as given in OpenAI's `usage` object. */
export interface Usage {
  promptTokens: number;
  cachedTokens: number;
}
