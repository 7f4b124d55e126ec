/** Factor by which the events of another run must exceed those of a lost one. */
const eventFactor = 2;
/** Events that a run sends more or fewer than another up to the same point, by chance. */
const eventSlack = 2;

/**
 * Whether a run of a content that sent `furthest` events went well past the point at which another
 * run of it was lost after `events`, so that the content is not what crashed that endpoint.
 */
export function hasRunPast(furthest: number, events: number): boolean {
  return furthest > events * eventFactor + eventSlack;
}
