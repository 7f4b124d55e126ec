const charactersPerToken = 4;

/** Tokens of a text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}
