import type { Clock, Random } from '@vanillarelay/core';

/** Settings of a fake plain service. */
export interface FakeServiceOptions {
  clock: Clock;
  random: Random;
  /** Id of this start of the service. */
  instance: string;
  /** Time until an answer, in milliseconds. */
  answerMs?: number;
  /** Fraction of answers that take `slowMs` instead. */
  slowShare?: number;
  slowMs?: number;
}
