import type { Step } from '../step.js';

/** `stop ID`: shuts a daemon down gracefully, as SIGTERM does. */
export const stop: Step = async (world, [id = '']) => {
  const stopDaemon = world.context.shutdowns.get(id);
  if (!stopDaemon) throw new Error(`no daemon '${id}' to stop`);
  world.closedAt.set(id, world.context.virtual.clock.monotonic());
  const done = stopDaemon().finally(() => world.pending.delete(done));
  world.pending.add(done);
};
