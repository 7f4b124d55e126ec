import type { Clock } from '@vanillarelay/core';

interface SilenceTimer {
  clock: Pick<Clock, 'startTimer'>;
  /** Time after which the endpoint counts as silent. */
  ms: number;
  /** Whether another endpoint can take the request over now, with a free slot or without. */
  hasAlternative: (needsFreeSlot: boolean) => boolean;
  /** Called once if the endpoint counts as silent but keeps the request. */
  recordSilence: () => void;
}

/** Multiple of the time after which an endpoint that is still silent is not expected to go on. */
const lostFactor = 3;
/** Time between two looks for an endpoint that can take over from a silent one. */
const handOverCheckMs = 100;

/**
 * Calls `abandon` once an endpoint is silent and another one can take its request over: one with a
 * free slot, or any other after a longer silence. Until then the silent endpoint keeps the request,
 * as it may still answer. Returns a function that cancels.
 */
export function startSilenceTimer(timer: SilenceTimer, abandon: () => void): () => void {
  const { clock, ms, hasAlternative, recordSilence } = timer;
  let isRecorded = false;
  let silentMs = ms;
  let cancel = clock.startTimer(ms, checkSilence);

  function checkSilence(): void {
    if (hasAlternative(silentMs < ms * lostFactor)) {
      abandon();
      return;
    }
    if (!isRecorded) recordSilence();
    isRecorded = true;
    silentMs += handOverCheckMs;
    cancel = clock.startTimer(handOverCheckMs, checkSilence);
  }

  return () => cancel();
}
