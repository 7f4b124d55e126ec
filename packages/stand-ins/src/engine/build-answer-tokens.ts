/** Builds the tokens of an answer from the prompt alone, so that tests can check the answer. */
export function buildAnswerTokens(prompt: string, count: number): string[] {
  const promptHash = hash(prompt).toString(36);
  return Array.from({ length: count }, (_, index) => `${promptHash}-${index} `);
}

function hash(text: string): number {
  /* eslint-disable no-bitwise -- FNV-1a is defined by bit operations */
  let value = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    value = Math.imul(value ^ text.charCodeAt(i), 0x01000193) >>> 0;
  }
  return value;
  /* eslint-enable no-bitwise */
}
