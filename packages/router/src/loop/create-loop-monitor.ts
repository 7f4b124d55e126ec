import type { Clock } from '@vanillarelay/core';
import type { Arrival } from './arrival.js';

interface LoopMonitorOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Calls back at the end of a turn of the event loop, after its input was read. */
  scheduleTurn: (callback: () => void) => void;
}

/** Turns that are observed after a request or connection came in. */
const observedTurns = 2;

/**
 * Creates the monitor of the event loop's turns. It observes turns only while requests or
 * connections come in; otherwise it would keep the loop from resting.
 */
export function createLoopMonitor({ clock, scheduleTurn }: LoopMonitorOptions) {
  let callbacks: (() => void)[] = [];
  /** Start of the current turn; undefined while the loop may rest. */
  let startedAt: number | undefined;
  /** Start of the turn before; of the current one, when the loop may have rested before it. */
  let previousStartedAt: number | undefined;
  /** Number of the current turn; numbers are left out where the loop may have rested. */
  let turn = 0;
  let turnsLeft = 0;

  const startTurn = (at: number): void => {
    previousStartedAt = startedAt ?? at;
    startedAt = at;
    turn += 1;
    scheduleTurn(endTurn);
  };
  const endTurn = (): void => {
    const at = clock.monotonic();
    const ready = callbacks;
    callbacks = [];
    turnsLeft -= 1;
    if (turnsLeft > 0) startTurn(at);
    else startedAt = undefined;
    ready.forEach((callback) => callback());
  };
  const observe = (): void => {
    turnsLeft = observedTurns;
    if (startedAt !== undefined) return;
    turn += 1;
    startTurn(clock.monotonic());
  };

  return {
    /** Calls back at the end of the current turn. */
    runAfterTurn: (callback: () => void): void => {
      callbacks.push(callback);
      observe();
    },
    /**
     * Estimates when what is read now reached the VM, at the earliest: after the turn before had
     * begun to read its input. The first request of a connection may have come with the connection,
     * when that was accepted in the turn before.
     */
    estimateArrival: (connection?: Arrival): Arrival => {
      const isBusy = startedAt !== undefined;
      const at = isBusy ? (previousStartedAt ?? clock.monotonic()) : clock.monotonic();
      observe();
      if (!isBusy || !connection || turn - connection.turn > 1) return { at, turn };
      return { at: Math.min(at, connection.at), turn };
    },
  };
}
