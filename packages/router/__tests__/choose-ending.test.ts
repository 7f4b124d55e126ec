import { ResultCode } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { chooseEnding } from '../src/requests/ending/choose-ending.js';
import type { EndCause } from '../src/requests/ending/end-cause.js';

const causes: EndCause[] = [
  { type: 'answered', status: 200 },
  { type: 'callerLeft' },
  { type: 'notSent', code: ResultCode.endpointBusy, reason: 'all are full', retryAfterMs: 70 },
  { type: 'attemptFailed' },
  { type: 'deadline' },
  { type: 'stopping' },
];

// Guards against a refusal, which promises that the request did not run, after a run that may have
// happened.
it.each([
  ['was never sent', 0, 0],
  ['was refused by an endpoint', 1, 0],
  ['may have run', 1, 1],
])('a request that %s ends truthfully', (_, sendCount, possibleRuns) => {
  const sends = Array.from({ length: sendCount }, () => ({}) as never);
  const result = { outcome: 'failed' as const, status: 0, sends };
  const progress = { possibleRuns, lastReason: 'last reason', result };
  expect(causes.map((cause) => chooseEnding(cause, progress))).toMatchSnapshot();
});
