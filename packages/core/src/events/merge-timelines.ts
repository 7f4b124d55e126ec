import type { TimelineEvent } from './timeline-event.js';

/** One time line out of several: by hybrid time, then by process. */
export function mergeTimelines(timelines: TimelineEvent[][]): TimelineEvent[] {
  return timelines
    .flat()
    .sort((a, b) => compareText(a.at, b.at) || compareText(a.process, b.process));
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
