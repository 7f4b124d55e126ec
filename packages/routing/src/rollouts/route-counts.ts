import type { EndpointId } from '@vanillarelay/core';
import type { SideCounts } from './side-counts.js';

/** Answers to the requests of one route since a roll-out was ordered, by side. */
export interface RouteCounts {
  old: SideCounts;
  new: SideCounts;
  /**
   * Old answers with the weight that the new side had when each came: good, bad, and the sum of the
   * squared weights. They have the time profile of the new answers, so that a fault of both sides
   * that comes while the new share grows is not taken for one of the version.
   */
  matched: readonly [good: number, bad: number, squares: number];
  /** Answers of the new endpoints of which any router has a bad answer. */
  endpoints: Record<EndpointId, SideCounts>;
}
