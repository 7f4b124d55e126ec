import { ResultCode } from '@vanillarelay/core';
import { checkValue } from '../check-value.js';
import { Questionnaire } from './questionnaire.js';

/** Validates a JSON value as a questionnaire; throws a `RelayError` that lists every issue. */
export function checkQuestionnaire(value: unknown): Questionnaire {
  return checkValue(Questionnaire, value, ResultCode.invalidConfig);
}
