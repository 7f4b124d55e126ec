import { toId, type EndpointId } from '@vanillarelay/core';
import { sendChange } from '../send-change.js';
import type { Step } from '../step.js';

/** `drain ID`: an operator drains an endpoint; the time of the reply is recorded. */
export const drain: Step = async (world, [id = '']) => {
  const endpoint = toId<EndpointId>(id);
  const result = await sendChange(world, { type: 'drainEndpoint', endpoint, draining: true });
  if (!result.ok) world.faults.push(`drain was refused: ${result.message}`);
  world.closedAt.set(id, world.context.virtual.clock.monotonic());
};
