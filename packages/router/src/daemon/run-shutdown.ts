import type { Server } from 'node:http';
import type { Clock } from '@vanillarelay/core';
import type { Log } from '../log/log.js';
import type { StopPlan } from './stop-plan.js';

interface ShutdownOptions {
  clock: Clock;
  log: Log;
  front: Server;
  stop: StopPlan;
  /** Time from the signal to the forced exit, in milliseconds. */
  graceMs: number;
  /** Whether this daemon is about to leave the control group. */
  isAwaitingLeave: () => boolean;
}

/**
 * Minimum time for which new connections are accepted after the signal. The load balancer sends
 * them until two readiness checks, a second apart, have failed.
 */
const minDrainMs = 3_000;
const pollIntervalMs = 50;
/** Share of the grace period after which the process exits even if requests are still running. */
const graceShare = 0.95;

/**
 * Waits for SIGTERM or SIGINT and then drains: keeps serving what can be completed until the load
 * balancer stops sending connections, closes idle connections and resolves when no request is left
 * and the control group was left, or the grace period is nearly over. Further signals change nothing.
 */
export async function runShutdown(options: ShutdownOptions): Promise<void> {
  const { clock, log, front, stop, graceMs, isAwaitingLeave } = options;
  let running = 0;
  front.on('request', (_, response) => {
    running += 1;
    response.once('close', () => {
      running -= 1;
    });
  });
  const signal = await waitForSignal();
  const startedAt = clock.monotonic();
  stop.start(graceMs);
  log.write('process.stopping', { signal, running });
  await clock.wait(minDrainMs);
  front.close();
  const isBusy = () => running > 0 || isAwaitingLeave();
  while (isBusy() && clock.monotonic() - startedAt < graceMs * graceShare) {
    front.closeIdleConnections();
    await clock.wait(pollIntervalMs);
  }
  log.write('process.stopped', { running, ms: Math.round(clock.monotonic() - startedAt) });
}

function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => resolve('SIGTERM'));
    process.on('SIGINT', () => resolve('SIGINT'));
  });
}
