import type { ServiceConfig, Timeline } from '@vanillarelay/core';

interface WarmUpOptions {
  slots: number;
  timeline: Timeline;
  readService: () => ServiceConfig | undefined;
}

const defaultColdLimit = 1;
const baselineSmoothingFactor = 0.1;
const minBaselineSamples = 16;
/** The first byte of a warm endpoint counts as slow only above this multiple of the baseline. */
const slowMultiple = 4;
/** Slow first bytes in a row that show a cold endpoint; one may be due to a long prompt. */
const consecutiveSlowLimit = 3;

/** Creates the warm-up: a cold endpoint gets a concurrency limit that grows with fast answers. */
export function createWarmUp({ slots, timeline, readService }: WarmUpOptions) {
  let isCold = true;
  /** Concurrency limit while cold; undefined until the configuration is known, at the first use. */
  let limit: number | undefined;
  /** Incremented when the limit changes; answers to requests from earlier rounds are ignored. */
  let round = 0;
  let fastAnswers = 0;
  /** Each round doubles the limit up to this, then adds 1; set to the limit when that is halved. */
  let slowStartThreshold = slots;
  /** Whether the endpoint is cold according to its last health report. */
  let isReportedCold = false;
  /** Moving average of the time to the first byte while warm. */
  let baselineMs = 0;
  let samples = 0;
  let consecutiveSlowAnswers = 0;

  const readColdLimit = (): number => {
    limit ??= readService()?.coldLimit ?? defaultColdLimit;
    return limit;
  };

  const startRound = (newLimit: number): void => {
    limit = newLimit;
    round += 1;
    fastAnswers = 0;
  };

  const reset = (reason: string): void => {
    if (!isCold) timeline.record('endpoint.cold', { reason });
    isCold = true;
    consecutiveSlowAnswers = 0;
    slowStartThreshold = slots;
    startRound(Math.min(slots, readService()?.coldLimit ?? defaultColdLimit));
  };

  const halve = (): void => {
    startRound(Math.max(1, Math.floor(readColdLimit() / 2)));
    slowStartThreshold = readColdLimit();
  };

  const recordColdAnswer = (isSlow: boolean): void => {
    const current = readColdLimit();
    if (isSlow) {
      halve();
      return;
    }
    if (isReportedCold) return;
    fastAnswers += 1;
    if (fastAnswers >= current)
      startRound(current < slowStartThreshold ? current * 2 : current + 1);
    if (readColdLimit() < slots) return;
    isCold = false;
    timeline.record('endpoint.warm', { slots });
  };

  const recordWarmAnswer = (firstByteMs: number, expectedMs: number): void => {
    const isSlow =
      samples >= minBaselineSamples &&
      firstByteMs > Math.max(expectedMs, slowMultiple * baselineMs);
    consecutiveSlowAnswers = isSlow ? consecutiveSlowAnswers + 1 : 0;
    if (consecutiveSlowAnswers >= consecutiveSlowLimit) reset('slow first bytes');
    if (isSlow) return;
    baselineMs =
      samples === 0
        ? firstByteMs
        : baselineMs + baselineSmoothingFactor * (firstByteMs - baselineMs);
    samples += 1;
  };

  /** Records the time to the first byte of a request that started in `startedInRound`. */
  const recordAnswer = (firstByteMs: number, startedInRound: number): void => {
    if (startedInRound !== round) return;
    const expectedMs = readService()?.firstByteMs ?? Number.POSITIVE_INFINITY;
    if (isCold) recordColdAnswer(firstByteMs > expectedMs);
    else recordWarmAnswer(firstByteMs, expectedMs);
  };

  /** Records that the endpoint refused a request because it is overloaded. */
  const recordOverload = (startedInRound: number): void => {
    if (startedInRound !== round) return;
    if (isCold) halve();
    else reset('overloaded');
  };

  return {
    recordOverload,
    /** Records whether the endpoint reports itself cold; while it does, its limit does not grow. */
    updateHealth: (cold: boolean): void => {
      isReportedCold = cold;
    },
    readLimit: () => (isCold ? Math.min(slots, readColdLimit()) : slots),
    isCold: () => isCold,
    readRound: () => round,
    recordAnswer,
    reset,
  };
}
