import type { RequestKind } from '@vanillarelay/core';
import type { Questionnaire } from './questionnaire.js';

type Answers = Questionnaire['services'][number]['requests'][number];

const millisecondsPerSecond = 1_000;
/** Priority by the maximum time, in seconds, that a caller waits; lower numbers go first. */
const priorityByWait = [
  { upToSeconds: 5, priority: 2 },
  { upToSeconds: 60, priority: 4 },
  { upToSeconds: Number.POSITIVE_INFINITY, priority: 6 },
];
/** Priority of requests that may wait but must arrive. */
const deferrablePriority = 8;

/**
 * Builds the rules of a request kind. Requests whose callers wait for a shorter time go first;
 * among those with equal waiting times, requests that are harmful if done twice go first, because a
 * refused one cannot be retried freely.
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
  const byWait = priorityByWait.find(({ upToSeconds }) => callerWaitsSeconds <= upToSeconds);
  const priority = maySlowDownButMustArrive
    ? deferrablePriority
    : (byWait?.priority ?? deferrablePriority);
  return harmfulIfDoneTwice ? priority - 1 : priority;
}
