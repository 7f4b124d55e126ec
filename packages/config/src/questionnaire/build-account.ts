import { toId, type AccountConfig, type ServiceId } from '@vanillarelay/core';
import type { Questionnaire } from './questionnaire.js';

const secondsPerMinute = 60;
/** Rate limit as a multiple of the busiest known minute, so that ordinary peaks are not refused. */
const peakFactor = 2;
/** Rate limits of accounts whose busiest minute is unknown. */
const requestsPerSecondBySize = { 'few people': 5, office: 25, 'large firm': 120 };

/** Builds the rate limit and the permitted services of a client account. */
export function buildAccount(answers: Questionnaire['accounts'][number]): AccountConfig {
  const { size, busiestMinute, uses, keyHashes } = answers;
  return {
    keyHashes,
    requestsPerSecond: busiestMinute
      ? Math.ceil((busiestMinute * peakFactor) / secondsPerMinute)
      : requestsPerSecondBySize[size],
    services: uses.map((service) => toId<ServiceId>(service)),
  };
}
