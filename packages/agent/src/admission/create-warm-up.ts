import type { ServiceConfig, Timeline } from '@vanillarelay/core';

interface WarmUpOptions {
  slots: number;
  timeline: Timeline;
  readService: () => ServiceConfig | undefined;
}

const defaultColdLimit = 1;
const baselineWeight = 0.1;
const baselineSamples = 16;
/** A warm endpoint's first byte is not slow up to this multiple of the baseline. */
const slowMultiple = 4;
/** A single long prompt is slow on a warm endpoint too; several in a row show a cold one. */
const consecutiveSlowLimit = 3;

/** Makes the concurrency limit of a cold endpoint, which grows with each round of fast answers. */
export function createWarmUp({ slots, timeline, readService }: WarmUpOptions) {
  let isCold = true;
  /** Undefined until the first use, when the configuration is known. */
  let limit: number | undefined;
  /** Incremented when the limit changes; answers to requests of earlier rounds are ignored. */
  let round = 0;
  let goodAnswers = 0;
  /** The limit doubles each round up to this, then grows by 1; lowered when the limit is halved. */
  let slowStartThreshold = slots;
  /** Whether the endpoint's last health report says that it is cold. */
  let isReportedCold = false;
  let baselineMs = 0;
  let samples = 0;
  let consecutiveSlow = 0;

  const readColdLimit = (): number => {
    limit ??= readService()?.coldLimit ?? defaultColdLimit;
    return limit;
  };

  const startRound = (newLimit: number): void => {
    limit = newLimit;
    round += 1;
    goodAnswers = 0;
  };

  const reset = (reason: string): void => {
    if (!isCold) timeline.record('endpoint.cold', { reason });
    isCold = true;
    consecutiveSlow = 0;
    slowStartThreshold = slots;
    startRound(Math.min(slots, readService()?.coldLimit ?? defaultColdLimit));
  };

  const halve = (): void => {
    startRound(Math.max(1, Math.floor(readColdLimit() / 2)));
    slowStartThreshold = readColdLimit();
  };

  const recordCold = (isSlow: boolean): void => {
    const current = readColdLimit();
    if (isSlow) {
      halve();
      return;
    }
    if (isReportedCold) return;
    goodAnswers += 1;
    if (goodAnswers >= current)
      startRound(current < slowStartThreshold ? current * 2 : current + 1);
    if (readColdLimit() < slots) return;
    isCold = false;
    timeline.record('endpoint.warm', { slots });
  };

  const recordWarm = (firstByteMs: number, expectedMs: number): void => {
    const isSlow =
      samples >= baselineSamples && firstByteMs > Math.max(expectedMs, slowMultiple * baselineMs);
    consecutiveSlow = isSlow ? consecutiveSlow + 1 : 0;
    if (consecutiveSlow >= consecutiveSlowLimit) reset('slow first bytes');
    if (isSlow) return;
    baselineMs =
      samples === 0 ? firstByteMs : baselineMs + baselineWeight * (firstByteMs - baselineMs);
    samples += 1;
  };

  /** Records the time to the first byte of a request that started in `startedInRound`. */
  const recordAnswer = (firstByteMs: number, startedInRound: number): void => {
    if (startedInRound !== round) return;
    const expectedMs = readService()?.firstByteMs ?? Number.POSITIVE_INFINITY;
    if (isCold) recordCold(firstByteMs > expectedMs);
    else recordWarm(firstByteMs, expectedMs);
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
