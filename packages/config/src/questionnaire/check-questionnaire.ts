import { ResultCode } from '@vanillarelay/core';
import { checkValue } from '../check-value.js';
import { Questionnaire } from './questionnaire.js';

/** The questionnaire in a JSON value; throws a `RelayError` with every issue. */
export function checkQuestionnaire(value: unknown): Questionnaire {
  return checkValue(Questionnaire, value, ResultCode.invalidConfig);
}
