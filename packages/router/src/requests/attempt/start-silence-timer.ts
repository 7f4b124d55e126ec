import type { Clock } from '@vanillarelay/core';

interface SilenceTimer {
  clock: Pick<Clock, 'startTimer'>;
  /** Time after which the endpoint counts as silent. */
  ms: number;
  /** Whether another endpoint can take the request over now. */
  hasAlternative: () => boolean;
  /** Called once if the endpoint counts as silent but keeps the request. */
  recordSilence: () => void;
}

/** Time between two looks for an endpoint that can take over from a silent one. */
const handOverCheckMs = 100;

/**
 * Calls `abandon` once an endpoint is silent and another one can take its request over. Until then
 * the silent endpoint keeps the request, as it may still answer. Returns a function that cancels.
 */
export function startSilenceTimer(timer: SilenceTimer, abandon: () => void): () => void {
  const { clock, ms, hasAlternative, recordSilence } = timer;
  let isRecorded = false;
  let cancel = clock.startTimer(ms, checkSilence);

  function checkSilence(): void {
    if (hasAlternative()) {
      abandon();
      return;
    }
    if (!isRecorded) recordSilence();
    isRecorded = true;
    cancel = clock.startTimer(handOverCheckMs, checkSilence);
  }

  return () => cancel();
}
