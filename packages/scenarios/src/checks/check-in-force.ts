import { findProcess } from '../language/find-process.js';
import type { Expectation } from './expectation.js';

/**
 * `in-force MS`: all running agents and entries have the last accepted state version within MS
 * milliseconds after it was accepted.
 */
export const checkInForce: Expectation = async (world, [ms = '4000']) => {
  const { context, accepted } = world;
  const { clock } = context.virtual;
  const listOutdated = () =>
    [...context.links]
      .filter(([id]) => findProcess(world, id).isAlive())
      .filter(([, link]) => (link.readView().state?.version ?? 0) < accepted.version)
      .map(([id]) => id);
  while (listOutdated().length > 0 && clock.monotonic() - accepted.at < Number(ms)) {
    await clock.wait(50);
  }
  return listOutdated().map((id) => `${id} does not have state version ${accepted.version}`);
};
