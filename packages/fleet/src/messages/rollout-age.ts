/** How long ago a roll-out was started, as daemons tell each other. */
export interface RolloutAge {
  startIndex: number;
  ageMs: number;
  /** Set when the age comes from wall clocks, since no daemon has counted from the start. */
  isEstimated?: boolean;
}
