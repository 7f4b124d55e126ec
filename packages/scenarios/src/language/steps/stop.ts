import type { Step } from '../step.js';

/** `stop ID`: a graceful shutdown, as SIGTERM brings about. */
export const stop: Step = async (world, [id = '']) => {
  const run = world.context.stops.get(id);
  if (!run) throw new Error(`no daemon '${id}' to stop`);
  world.closedAt.set(id, world.context.virtual.clock.monotonic());
  const done = run().finally(() => world.pending.delete(done));
  world.pending.add(done);
};
