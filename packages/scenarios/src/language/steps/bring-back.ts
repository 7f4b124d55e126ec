import { toId, type DataCentreId } from '@vanillarelay/core';
import { sendChange } from '../send-change.js';
import type { Step } from '../step.js';

/** `bring-back DATA-CENTRE`: an operator brings the data centre back. */
export const bringBack: Step = async (world, [id = '']) => {
  const dataCentre = toId<DataCentreId>(id);
  const result = await sendChange(world, { type: 'bringBackDataCentre', dataCentre });
  if (!result.ok) world.faults.push(`bring-back was refused: ${result.message}`);
};
