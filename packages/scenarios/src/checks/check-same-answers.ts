import type { Expectation } from './expectation.js';

/** `same-answers`: a notice and its resends all get the same answer. */
export const checkSameAnswers: Expectation = ({ calls }) => {
  const answers = new Map<string, Set<string>>();
  calls
    .filter(({ type, status, isBroken }) => type === 'notice' && status === 200 && !isBroken)
    .forEach(({ name, text = '' }) => {
      answers.set(name, (answers.get(name) ?? new Set()).add(text));
    });
  return [...answers].flatMap(([name, texts]) =>
    texts.size > 1 ? [`${name} got ${texts.size} different answers`] : [],
  );
};
