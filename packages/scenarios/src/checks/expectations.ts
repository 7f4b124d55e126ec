import { checkAnswered } from './check-answered.js';
import { checkAtMostOnce } from './check-at-most-once.js';
import { checkColdLimit } from './check-cold-limit.js';
import { checkInForce } from './check-in-force.js';
import { checkNoNewWork } from './check-no-new-work.js';
import { checkNotRun } from './check-not-run.js';
import { checkSameAnswers } from './check-same-answers.js';
import { checkServed } from './check-served.js';
import { checkUncut } from './check-uncut.js';
import { checkWholeAnswers } from './check-whole-answers.js';
import type { Expectation } from './expectation.js';

/** The checks of the scenario language, by name. */
export const expectations: Readonly<Record<string, Expectation>> = {
  'at-most-once': checkAtMostOnce,
  'not-run-true': checkNotRun,
  'same-answers': checkSameAnswers,
  answered: checkAnswered,
  served: checkServed,
  uncut: checkUncut,
  'whole-answers': checkWholeAnswers,
  'no-new-work': checkNoNewWork,
  'in-force': checkInForce,
  'cold-limit': checkColdLimit,
};
