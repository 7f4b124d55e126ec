import { describe, expect, it } from 'vitest';
import { createLoopMonitor } from '../src/loop/create-loop-monitor.js';

/** Creates a monitor whose time and turns the test controls. */
function createMonitorFixture() {
  let now = 0;
  let next: (() => void) | undefined;
  const monitor = createLoopMonitor({
    clock: { monotonic: () => now },
    scheduleTurn: (callback) => {
      next = callback;
    },
  });
  return {
    monitor,
    isObserving: () => next !== undefined,
    pass: (ms: number): void => {
      now += ms;
    },
    endTurn: (): void => {
      const turn = next;
      next = undefined;
      turn?.();
    },
  };
}

describe('the arrival of a request', () => {
  // Guards against time limits that leave out the time for which a request lay unread.
  it('is no later than the start of the turn before', () => {
    const { monitor, pass, endTurn } = createMonitorFixture();
    monitor.estimateArrival();
    pass(700);
    endTurn();
    pass(10);
    expect(monitor.estimateArrival().at).toBe(0);
  });

  // Guards against time limits that count the time for which the router had nothing to do.
  it('is the present after the loop has rested', () => {
    const { monitor, pass, endTurn } = createMonitorFixture();
    monitor.estimateArrival();
    endTurn();
    endTurn();
    pass(700);
    expect(monitor.estimateArrival().at).toBe(700);
  });

  // Guards against leaving out the turn for which the connection of a request waited.
  it('counts from that of its connection when both came in successive turns', () => {
    const { monitor, pass, endTurn } = createMonitorFixture();
    monitor.estimateArrival();
    pass(400);
    endTurn();
    const connection = monitor.estimateArrival();
    pass(300);
    endTurn();
    expect([monitor.estimateArrival().at, monitor.estimateArrival(connection).at]).toEqual([
      400, 0,
    ]);
  });

  // Guards against a request that is taken for as old as a connection that was idle before it.
  it('is its own on a connection that was idle', () => {
    const { monitor, pass, endTurn } = createMonitorFixture();
    const connection = monitor.estimateArrival();
    endTurn();
    endTurn();
    pass(5_000);
    monitor.estimateArrival();
    pass(10);
    expect(monitor.estimateArrival(connection).at).toBe(5_000);
  });
});

describe('the monitor', () => {
  // Guards against a router without requests that never rests.
  it('observes two turns after the last request and then lets the loop rest', () => {
    const { monitor, isObserving, endTurn } = createMonitorFixture();
    monitor.estimateArrival();
    endTurn();
    expect(isObserving()).toBe(true);
    endTurn();
    expect(isObserving()).toBe(false);
  });

  it('calls back at the end of the current turn', () => {
    const { monitor, endTurn } = createMonitorFixture();
    const calls: string[] = [];
    monitor.runAfterTurn(() => calls.push('first'));
    endTurn();
    endTurn();
    expect(calls).toEqual(['first']);
  });
});
