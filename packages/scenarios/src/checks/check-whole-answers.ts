import type { Expectation } from './expectation.js';

/** Tokens of each answer, as `createScenarioEndpoint` configures the engines. */
const answerTokens = 10;

/**
 * `whole-answers`: a chat answer that was not visibly cut off has all its tokens in order, and all
 * answers to one request come from the same prompt.
 */
export const checkWholeAnswers: Expectation = ({ calls }) => {
  const promptHashes = new Map<string, string>();
  return calls
    .filter(({ type, status, isBroken }) => type === 'chat' && status === 200 && !isBroken)
    .flatMap(({ name, text = '' }) => {
      const tokens = [...text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1] ?? '');
      const promptHash = tokens[0]?.split('-')[0] ?? '';
      const expected = Array.from(
        { length: answerTokens },
        (_, index) => `${promptHash}-${index} `,
      );
      const isWhole = tokens.join('') === expected.join('') && text.includes('data: [DONE]');
      const isSamePrompt = (promptHashes.get(name) ?? promptHash) === promptHash;
      promptHashes.set(name, promptHash);
      return isWhole && isSamePrompt
        ? []
        : [`${name} got ${tokens.length} tokens, not the ${answerTokens} of its answer`];
    });
};
