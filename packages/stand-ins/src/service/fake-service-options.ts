import type { Clock, Random } from '@vanillarelay/core';

/** How a fake plain service behaves. */
export interface FakeServiceOptions {
  clock: Clock;
  random: Random;
  /** Changes with each start. */
  instance: string;
  /** Time of an answer, in milliseconds. */
  answerMs?: number;
  /** Share of answers that take `slowMs` instead. */
  slowShare?: number;
  slowMs?: number;
}
