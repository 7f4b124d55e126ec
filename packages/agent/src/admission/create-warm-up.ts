import type { ServiceConfig, Timeline } from '@vanillarelay/core';

interface WarmUpOptions {
  slots: number;
  timeline: Timeline;
  readService: () => ServiceConfig | undefined;
}

const defaultColdLimit = 1;
const baselineWeight = 0.1;
const baselineSamples = 16;
/** First bytes this many times above the baseline are far above it. */
const slowMultiple = 4;
/** One long prompt is slow on a warm endpoint too; several in a row are not chance. */
const slowInRowLimit = 3;

/** Makes the concurrency limit of a cold endpoint, which grows as the endpoint proves itself. */
export function createWarmUp({ slots, timeline, readService }: WarmUpOptions) {
  let isCold = true;
  /** Undefined until the first use, when the configuration is known. */
  let limit: number | undefined;
  /** Grows when the limit changes; answers from before say nothing of the new limit. */
  let round = 0;
  let good = 0;
  /** Below it the limit doubles each round; set by slow answers. */
  let doublingLimit = slots;
  /** What the endpoint says of itself. */
  let saysCold = false;
  let baselineMs = 0;
  let samples = 0;
  let slowInRow = 0;

  const readColdLimit = (): number => {
    limit ??= readService()?.coldLimit ?? defaultColdLimit;
    return limit;
  };

  const startRound = (next: number): void => {
    limit = next;
    round += 1;
    good = 0;
  };

  const reset = (reason: string): void => {
    if (!isCold) timeline.record('endpoint.cold', { reason });
    isCold = true;
    slowInRow = 0;
    doublingLimit = slots;
    startRound(Math.min(slots, readService()?.coldLimit ?? defaultColdLimit));
  };

  const halve = (): void => {
    startRound(Math.max(1, Math.floor(readColdLimit() / 2)));
    doublingLimit = readColdLimit();
  };

  const recordCold = (isSlow: boolean): void => {
    const current = readColdLimit();
    if (isSlow) {
      halve();
      return;
    }
    if (saysCold) return;
    good += 1;
    if (good >= current) startRound(current < doublingLimit ? current * 2 : current + 1);
    if (readColdLimit() < slots) return;
    isCold = false;
    timeline.record('endpoint.warm', { slots });
  };

  const recordWarm = (firstByteMs: number, expectedMs: number): void => {
    const isSlow =
      samples >= baselineSamples && firstByteMs > Math.max(expectedMs, slowMultiple * baselineMs);
    slowInRow = isSlow ? slowInRow + 1 : 0;
    if (slowInRow >= slowInRowLimit) reset('slow first bytes');
    if (isSlow) return;
    baselineMs =
      samples === 0 ? firstByteMs : baselineMs + baselineWeight * (firstByteMs - baselineMs);
    samples += 1;
  };

  /** Takes in the time to the first byte of a request that started in `startedInRound`. */
  const recordAnswer = (firstByteMs: number, startedInRound: number): void => {
    if (startedInRound !== round) return;
    const expectedMs = readService()?.firstByteMs ?? Number.POSITIVE_INFINITY;
    if (isCold) recordCold(firstByteMs > expectedMs);
    else recordWarm(firstByteMs, expectedMs);
  };

  /** Takes in that the endpoint refused a request for lack of room. */
  const recordOverload = (startedInRound: number): void => {
    if (startedInRound !== round) return;
    if (isCold) halve();
    else reset('overloaded');
  };

  return {
    recordOverload,
    /** Takes in whether the endpoint says that it is cold; its limit then does not grow. */
    updateHealth: (cold: boolean): void => {
      saysCold = cold;
    },
    readLimit: () => (isCold ? Math.min(slots, readColdLimit()) : slots),
    isCold: () => isCold,
    readRound: () => round,
    recordAnswer,
    reset,
  };
}
