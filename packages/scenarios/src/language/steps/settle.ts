import type { Step } from '../step.js';

/** `settle [MS]`: waits until all requests and shutdowns have ended, at most `MS` milliseconds. */
export const settle: Step = async (world, [ms = '120000']) => {
  const { clock } = world.context.virtual;
  const endAt = clock.monotonic() + Number(ms);
  while (world.pending.size > 0 && clock.monotonic() < endAt) await clock.wait(100);
  if (world.pending.size > 0)
    world.faults.push(`${world.pending.size} requests or shutdowns did not end`);
};
