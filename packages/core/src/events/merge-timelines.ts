import type { TimelineEvent } from './timeline-event.js';

/** Merges timelines into one, ordered by hybrid logical time and then by process. */
export function mergeTimelines(timelines: TimelineEvent[][]): TimelineEvent[] {
  return timelines
    .flat()
    .sort((a, b) => compareText(a.at, b.at) || compareText(a.process, b.process));
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
