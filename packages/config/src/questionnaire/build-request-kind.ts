import type { RequestKind } from '@vanillarelay/core';
import type { Questionnaire } from './questionnaire.js';

type Answers = Questionnaire['services'][number]['requests'][number];

const millisecondsPerSecond = 1_000;
/** Priority by the longest time that a caller waits, in seconds. */
const priorities = [
  { upToSeconds: 5, priority: 2 },
  { upToSeconds: 60, priority: 4 },
  { upToSeconds: Number.POSITIVE_INFINITY, priority: 6 },
];
const slowPriority = 8;

/**
 * How requests of a kind are treated. Impatient callers go first; of equally patient ones those
 * whose request is harmful if done twice, because a refused one cannot be retried freely.
 */
export function buildRequestKind(answers: Answers): RequestKind {
  const { methods, path, harmfulIfDoneTwice, maySlowDownButMustArrive, callerWaitsSeconds } =
    answers;
  return {
    methods,
    pathPrefix: path,
    idempotent: !harmfulIfDoneTwice,
    mustArrive: maySlowDownButMustArrive,
    priority: computePriority(answers),
    deadlineMs: callerWaitsSeconds * millisecondsPerSecond,
  };
}

function computePriority(answers: Answers): number {
  const { harmfulIfDoneTwice, maySlowDownButMustArrive, callerWaitsSeconds } = answers;
  const byPatience = priorities.find(({ upToSeconds }) => callerWaitsSeconds <= upToSeconds);
  const priority = maySlowDownButMustArrive ? slowPriority : (byPatience?.priority ?? slowPriority);
  return harmfulIfDoneTwice ? priority - 1 : priority;
}
