const charactersPerToken = 4;

/** Counts the tokens of a text, taken as four characters each. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}
