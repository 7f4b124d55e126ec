import type { Expectation } from './expectation.js';

const answerTokens = 10;

/** An answer that did not break off visibly is whole, in order, and the caller's own. */
export const checkWholeAnswers: Expectation = ({ calls }) => {
  const marks = new Map<string, string>();
  return calls
    .filter(({ type, status, isBroken }) => type === 'chat' && status === 200 && !isBroken)
    .flatMap(({ name, text = '' }) => {
      const tokens = [...text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1] ?? '');
      const mark = tokens[0]?.split('-')[0] ?? '';
      const expected = Array.from({ length: answerTokens }, (_, index) => `${mark}-${index} `);
      const isWhole = tokens.join('') === expected.join('') && text.includes('data: [DONE]');
      const isOwn = (marks.get(name) ?? mark) === mark;
      marks.set(name, mark);
      return isWhole && isOwn ? [] : [`${name} got ${tokens.length} of ${answerTokens} tokens`];
    });
};
