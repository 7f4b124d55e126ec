import type { Server } from 'node:http';
import type { Clock } from '@vanillarelay/core';
import type { Log } from '../log/log.js';

interface ShutdownOptions {
  clock: Clock;
  log: Log;
  front: Server;
  shutdown: { isLeaving: boolean };
  /** Time from the signal to the forced end, in milliseconds. */
  graceMs: number;
}

/** The balancer needs two failed checks, a second apart, to stop sending connections. */
const minServeMs = 3_000;
const pollMs = 50;
/** Part of the grace after which the process ends with what is still running. */
const graceShare = 0.93;

/**
 * Waits for SIGTERM or SIGINT, then serves on while the balancer turns away, closes idle
 * connections and resolves when no request is left.
 */
export async function runShutdown(options: ShutdownOptions): Promise<void> {
  const { clock, log, front, shutdown, graceMs } = options;
  let running = 0;
  front.on('request', (_, response) => {
    running += 1;
    response.once('close', () => {
      running -= 1;
    });
  });
  const signal = await waitForSignal();
  const startedAt = clock.monotonic();
  shutdown.isLeaving = true;
  log.write('process.stopping', { signal, running });
  await clock.wait(minServeMs);
  front.close();
  while (running > 0 && clock.monotonic() - startedAt < graceMs * graceShare) {
    front.closeIdleConnections();
    await clock.wait(pollMs);
  }
  log.write('process.stopped', { running, ms: Math.round(clock.monotonic() - startedAt) });
}

function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });
}
