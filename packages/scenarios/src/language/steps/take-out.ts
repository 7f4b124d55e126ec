import { toId, type DataCentreId } from '@vanillarelay/core';
import { sendChange } from '../send-change.js';
import type { Step } from '../step.js';

/** `take-out DATA-CENTRE`: an operator takes it out; the time of the reply is recorded. */
export const takeOut: Step = async (world, [id = '']) => {
  const dataCentre = toId<DataCentreId>(id);
  const result = await sendChange(world, { type: 'takeOutDataCentre', dataCentre });
  if (!result.ok) world.faults.push(`take-out was refused: ${result.message}`);
  world.closedAt.set(id, world.context.virtual.clock.monotonic());
};
