/** Builds the token counts in the format of OpenAI's `usage`. */
export function buildUsage(promptTokens: number, cachedTokens: number, answerTokens: number) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: answerTokens,
    total_tokens: promptTokens + answerTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}
