/** Answers of one side of a roll-out: good, bad, and how many of them were of the recent window. */
export type SideCounts = readonly [
  good: number,
  bad: number,
  recentGood: number,
  recentBad: number,
];
